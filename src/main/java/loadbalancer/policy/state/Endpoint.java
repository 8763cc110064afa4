package loadbalancer.policy.state;

import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointSnapshot;
import loadbalancer.policy.data.HashMixer;
import loadbalancer.policy.data.InFlight;
import loadbalancer.policy.data.InFlightMessage;

/**
 * One process of an upstream service, with what each rule keeps of it. A restarted process under
 * the same id is another {@code Endpoint}.
 */
public final class Endpoint {
    private final String id;
    private final int messageHash;
    private final long rank;
    private final long startedAtMicros;
    private EndpointDescriptor entry;

    private final InFlight inFlight = new InFlight();
    private final EndpointTrustState trust = new EndpointTrustState();
    private final WeightState weight = new WeightState();
    private final OutlierState outlier = new OutlierState();
    private final ConcurrencyLimitState concurrencyLimit = new ConcurrencyLimitState();
    private final SlowStartState slowStart = new SlowStartState();
    private final ProbingState probing = new ProbingState();
    private final BackgroundProbingState backgroundProbing = new BackgroundProbingState();
    private final InFlightExchangeState inFlightExchange = new InFlightExchangeState();
    private final ServiceTimes.EndpointTimes times = new ServiceTimes.EndpointTimes();
    private final PeerLoad.EndpointLoad peerLoad = new PeerLoad.EndpointLoad();

    /**
     * Creates one of which nothing is known.
     *
     * @param balancerIndex of this balancer in its tier, from 0
     * @param startedAtMicros when the process started, as {@link EndpointAges} has it
     */
    public Endpoint(String id, int balancerIndex, long startedAtMicros) {
        this.id = id;
        this.startedAtMicros = startedAtMicros;
        messageHash = InFlightMessage.endpointHash(id);
        rank = rankFor(HashMixer.mix(balancerIndex + 1));
    }

    /** The id in the endpoint list. */
    public String id() {
        return id;
    }

    /** The hash that stands for it in messages between balancers. */
    public int messageHash() {
        return messageHash;
    }

    /** Its rank in this balancer's order of preference; lower is preferred. */
    public long rank() {
        return rank;
    }

    /** Its rank for another balancer, by rendezvous hashing with that balancer's mixed salt. */
    public long rankFor(long mixedSalt) {
        return HashMixer.pairScore(messageHash, mixedSalt);
    }

    /** When the process started, as far as it is believed. */
    public long startedAtMicros() {
        return startedAtMicros;
    }

    /** The last entry of the endpoint list for it. */
    public EndpointDescriptor entry() {
        return entry;
    }

    void setEntry(EndpointDescriptor listed) {
        entry = listed;
    }

    /** Whether it has ever given a successful response. */
    public boolean hasResponded() {
        return outlier.lastResponseAtMicros() != Timestamps.NEVER_MICROS;
    }

    /** What this balancer has in flight there. */
    public InFlight inFlight() {
        return inFlight;
    }

    /** State of endpoint trust. */
    public EndpointTrustState trust() {
        return trust;
    }

    /** State of the utilisation weights. */
    public WeightState weight() {
        return weight;
    }

    /** State of outlier detection. */
    public OutlierState outlier() {
        return outlier;
    }

    /** State of the concurrency limit. */
    public ConcurrencyLimitState concurrencyLimit() {
        return concurrencyLimit;
    }

    /** State of slow start. */
    public SlowStartState slowStart() {
        return slowStart;
    }

    /** State of probing before a pick. */
    public ProbingState probing() {
        return probing;
    }

    /** State of background probing. */
    public BackgroundProbingState backgroundProbing() {
        return backgroundProbing;
    }

    /** State of the in-flight exchange. */
    public InFlightExchangeState inFlightExchange() {
        return inFlightExchange;
    }

    ServiceTimes.EndpointTimes times() {
        return times;
    }

    PeerLoad.EndpointLoad peerLoad() {
        return peerLoad;
    }

    /** What was learnt of it, for a later instance. */
    public EndpointSnapshot export(long nowMicros) {
        return new EndpointSnapshot(
                id,
                entry.launchedAtMicros(),
                hasResponded() ? nowMicros - outlier.lastResponseAtMicros() : -1,
                weight.logWeight(),
                concurrencyLimit.limit(),
                times.minServiceTime(),
                times.responseMicros(),
                times.paceMicros(),
                outlier.errorRatio(),
                outlier.remainingEjectionMicros(nowMicros),
                outlier.nextEjectionMicros(),
                slowStart.servedWorkPerMicro(),
                slowStart.workBucket().tokens(),
                inFlight.requests());
    }

    /**
     * Takes over what an earlier instance had learnt, as far as it is still believed.
     *
     * @param savedAtMicros when it was exported
     */
    public void restore(EndpointSnapshot saved, long savedAtMicros, long nowMicros) {
        weight.setLogWeight(saved.logWeight());
        concurrencyLimit.setLimit(saved.concurrencyLimit());
        times.restore(saved, savedAtMicros);
        outlier.restore(
                saved.errorRatio(),
                saved.ejectionLeftMicros(),
                saved.nextEjectionMicros(),
                nowMicros);
        slowStart.restore(saved.completedWorkRate(), saved.slowStartTokens(), nowMicros);
    }
}
