package loadbalancer.policy;

import loadbalancer.policy.data.InFlightMessage;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PeerLoad;
import loadbalancer.policy.state.ServiceTimes;
import loadbalancer.policy.state.Traffic;

/**
 * Capacity check of an endpoint for a request.
 *
 * <p>Decides whether a request sent now is likely to get its response within its latency objective.
 * If the load of peers is known, this depends on the endpoint's whole queue and its response time
 * per queued request; otherwise on this balancer's concurrency limit, scaled by warm-up and trust.
 *
 * <p>Does not consider health: see {@link EndpointEligibility}.
 */
final class EndpointCapacity {
    /**
     * Fraction of the time left that the queue may take if its length is known from messages of
     * peers.
     */
    private static final double QUEUE_TIME_RATIO_BY_MESSAGES = 0.8;

    /**
     * Fraction of the time left that the queue may take if its length is known from probes, whose
     * replies are older.
     */
    private static final double QUEUE_TIME_RATIO_BY_PROBES = 0.6;

    /**
     * Queue length below which an endpoint counts as idle; such a length is encoded in messages as
     * less than one request.
     */
    private static final double MAX_IDLE_QUEUE_LENGTH = 1 - 1 / InFlightMessage.PARTS_PER_REQUEST;

    private final DerivedSettings settings;
    private final PeerLoad peerLoad;
    private final Traffic traffic;
    private final ServiceTimes times;
    private final ConcurrencyLimits limits;
    private final SlowStart slowStart;
    private final EndpointTrust trust;

    EndpointCapacity(
            DerivedSettings settings,
            PeerLoad peerLoad,
            Traffic traffic,
            ServiceTimes times,
            ConcurrencyLimits limits,
            SlowStart slowStart,
            EndpointTrust trust) {
        this.settings = settings;
        this.peerLoad = peerLoad;
        this.traffic = traffic;
        this.times = times;
        this.limits = limits;
        this.slowStart = slowStart;
        this.trust = trust;
    }

    /** Returns whether a request sent now is likely to meet its latency objective. */
    boolean hasCapacity(Endpoint endpoint, OpenRequest request, long nowMicros) {
        return settings.knowsPeerLoad()
                ? isQueueShortEnough(endpoint, request, nowMicros)
                : isWithinLimit(endpoint, nowMicros);
    }

    private boolean isQueueShortEnough(Endpoint endpoint, OpenRequest request, long nowMicros) {
        double queueLength = peerLoad.queueLength(endpoint, nowMicros);
        if (queueLength < MAX_IDLE_QUEUE_LENGTH) {
            return true;
        }
        double maxRatio =
                settings.probesBeforePick()
                        ? QUEUE_TIME_RATIO_BY_PROBES
                        : QUEUE_TIME_RATIO_BY_MESSAGES;
        double expectedMicros =
                (queueLength + traffic.relativeCost(request))
                        * times.microsPerQueuedRequest(endpoint);
        return expectedMicros <= maxRatio * (request.objectiveAtMicros() - nowMicros);
    }

    private boolean isWithinLimit(Endpoint endpoint, long nowMicros) {
        double maxInFlight =
                Math.max(
                        1,
                        limits.limit(endpoint)
                                * slowStart.warmUpFactor(endpoint, nowMicros)
                                * trust.allowedFraction(endpoint));
        return !limits.isPaused(endpoint, nowMicros)
                && endpoint.inFlight().requests() + peerLoad.peerRequests(endpoint, nowMicros) + 1
                        <= maxInFlight;
    }

    /**
     * Returns the response time per queued request at which the initial queue of an endpoint would
     * just meet the objective.
     */
    static double initialMicrosPerQueuedRequest(long latencyObjectiveMicros) {
        return QUEUE_TIME_RATIO_BY_MESSAGES
                * latencyObjectiveMicros
                / ConcurrencyLimits.INITIAL_TOTAL_IN_FLIGHT;
    }
}
