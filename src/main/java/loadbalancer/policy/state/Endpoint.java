package loadbalancer.policy.state;

import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointSnapshot;
import loadbalancer.policy.data.HashMixer;
import loadbalancer.policy.data.InFlight;
import loadbalancer.policy.data.InFlightMessage;

/** An upstream's process, with what each module keeps of it. */
public final class Endpoint {
    /** As discovery has it. */
    public final String id;

    /** By which messages name it. */
    public final int name;

    /** Its place in this balancer's order: the least first. */
    public final long rank;

    /** What this balancer has in flight there. */
    public final InFlight inFlight = new InFlight();

    /** The list's part. */
    public final EndpointListState list = new EndpointListState();

    /** The mechanism's part. */
    public final WeightState weight = new WeightState();

    /** The part of health. */
    public final OutlierState health = new OutlierState();

    /** The in-flight limit's part. */
    public final ConcurrencyLimitState limit = new ConcurrencyLimitState();

    /** The cold budget's part. */
    public final SlowStartState cold = new SlowStartState();

    /** The part of probing. */
    public final ProbingState probing = new ProbingState();

    /** The part of peer sync. */
    public final InFlightExchangeState peerSync = new InFlightExchangeState();

    final ServiceTimes.Part times = new ServiceTimes.Part();
    final PeerLoad.Part peers = new PeerLoad.Part();

    /** One of which nothing is known yet, as the balancer in that position sees it. */
    public Endpoint(String id, int position) {
        this.id = id;
        this.name = InFlightMessage.name(id);
        this.rank = rank(HashMixer.mix(position + 1));
    }

    /** Rendezvous hashing: which upstreams a balancer prefers, as any other can work out. */
    public long rank(long salt) {
        return HashMixer.pair(name, salt);
    }

    /** As discovery last named it. */
    public EndpointDescriptor entry() {
        return list.entry;
    }

    /** When its process began, as {@link EndpointAges} has it. */
    public long startedAt() {
        return list.startedAt;
    }

    /** Whether it has ever answered. */
    public boolean answered() {
        return health.answeredAt != OutlierState.NEVER;
    }

    /** What was learnt of it, for a later instance. */
    public EndpointSnapshot known(long now) {
        return new EndpointSnapshot(
                id,
                list.entry.launchedAtMicros(),
                answered() ? now - health.answeredAt : -1,
                weight.log,
                limit.limit,
                times.least.value(),
                times.took,
                times.pace,
                health.errors,
                Math.max(0, health.ejectedUntil - now),
                health.ejection,
                cold.doneRate,
                cold.bucket.tokens(),
                inFlight.requests());
    }

    /**
     * Takes over what is believed of an earlier instance's word, whose least time is of {@code
     * then}.
     */
    public void recall(EndpointSnapshot k, long then, long now) {
        weight.set(k.logWeight());
        limit.limit = k.concurrencyLimit();
        times.least.start(k.minUnitDurationMicros(), then);
        times.took = k.responseTimeMicros();
        times.pace = k.responseTimePerQueuedMicros();
        health.errors = k.errorRatio();
        health.ejectedUntil =
                k.ejectionLeftMicros() > 0 ? now + k.ejectionLeftMicros() : health.ejectedUntil;
        health.ejection = k.ejectionLeftMicros() > 0 ? k.nextEjectionMicros() : health.ejection;
        cold.doneRate = k.completedWorkRate();
        cold.bucket.start(k.slowStartTokens(), now);
    }
}
