package loadbalancer.policy.state;

import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointSnapshot;
import loadbalancer.policy.data.HashMixer;
import loadbalancer.policy.data.InFlight;
import loadbalancer.policy.data.InFlightMessage;

/**
 * One process of an upstream service, with the state of each rule for it. A restarted process with
 * the same id is represented by a new {@code Endpoint}.
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
     * Creates an endpoint without any measurements.
     *
     * @param balancerIndex index of this balancer in its tier, from 0
     * @param startedAtMicros when the process started, as computed by {@link EndpointAges}
     */
    public Endpoint(String id, int balancerIndex, long startedAtMicros) {
        this.id = id;
        this.startedAtMicros = startedAtMicros;
        messageHash = InFlightMessage.endpointHash(id);
        rank = rankFor(HashMixer.mix(balancerIndex + 1));
    }

    /** Returns the id in the endpoint list. */
    public String id() {
        return id;
    }

    /** Returns the hash that identifies the endpoint in messages between balancers. */
    public int messageHash() {
        return messageHash;
    }

    /** Returns the endpoint's rank in this balancer's order of preference; lower is preferred. */
    public long rank() {
        return rank;
    }

    /**
     * Returns the endpoint's rank for another balancer, by rendezvous hashing with that balancer's
     * mixed salt.
     */
    public long rankFor(long mixedSalt) {
        return HashMixer.pairScore(messageHash, mixedSalt);
    }

    /** Returns when the process started, as far as its launch time is trusted. */
    public long startedAtMicros() {
        return startedAtMicros;
    }

    /** Returns the latest entry of the endpoint list for this endpoint. */
    public EndpointDescriptor entry() {
        return entry;
    }

    void setEntry(EndpointDescriptor listed) {
        entry = listed;
    }

    /** Returns whether the endpoint has ever given a successful response. */
    public boolean hasResponded() {
        return outlier.lastResponseAtMicros() != Timestamps.NEVER_MICROS;
    }

    /** Returns the requests that this balancer has in flight at the endpoint. */
    public InFlight inFlight() {
        return inFlight;
    }

    /** Returns the state of {@code EndpointTrust}. */
    public EndpointTrustState trust() {
        return trust;
    }

    /** Returns the state of {@code UtilizationWeights}. */
    public WeightState weight() {
        return weight;
    }

    /** Returns the state of {@code OutlierDetection}. */
    public OutlierState outlier() {
        return outlier;
    }

    /** Returns the state of {@code ConcurrencyLimits}. */
    public ConcurrencyLimitState concurrencyLimit() {
        return concurrencyLimit;
    }

    /** Returns the state of {@code SlowStart}. */
    public SlowStartState slowStart() {
        return slowStart;
    }

    /** Returns the state of {@code LoadProbing}. */
    public ProbingState probing() {
        return probing;
    }

    /** Returns the state of {@code BackgroundProbing}. */
    public BackgroundProbingState backgroundProbing() {
        return backgroundProbing;
    }

    /** Returns the state of {@code InFlightExchange}. */
    public InFlightExchangeState inFlightExchange() {
        return inFlightExchange;
    }

    ServiceTimes.EndpointTimes times() {
        return times;
    }

    PeerLoad.EndpointLoad peerLoad() {
        return peerLoad;
    }

    /** Exports the measurements of the endpoint, for a later instance. */
    public EndpointSnapshot export(long nowMicros) {
        return new EndpointSnapshot(
                id,
                entry.launchedAtMicros(),
                hasResponded() ? nowMicros - outlier.lastResponseAtMicros() : -1,
                weight.logWeight(),
                concurrencyLimit.limit(),
                times.minServiceTime(),
                times.responseMicros(),
                times.microsPerQueuedRequest(),
                outlier.errorRatio(),
                outlier.remainingEjectionMicros(nowMicros),
                outlier.nextEjectionMicros(),
                slowStart.servedWorkPerMicro(),
                slowStart.workBucket().tokens(),
                inFlight.requests());
    }

    /**
     * Restores measurements of an earlier instance, already discounted by their age.
     *
     * @param savedAtMicros when they were exported
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
