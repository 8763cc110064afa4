package loadbalancer.policy;

import loadbalancer.Idempotency;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PeerLoad;

/**
 * The score of an endpoint for a request: weight * (preference / (queue length + 1)) ^ exponent.
 *
 * <p>The score determines how likely an endpoint is picked among others. A preference of 2 offsets
 * a queue that is twice as long. The weight is the utilization weight. The preference is a product
 * of factors that are neutral at 1: capacity weight, warm-up, trust, success ratio, zone, home of
 * the key and recovery after an ejection.
 *
 * <p>Excludes no endpoint: see {@link EndpointEligibility}.
 */
final class EndpointScore {
    /**
     * Exponent of preference and queue length; high, so that a clearly shorter queue nearly always
     * wins.
     */
    private static final double EXPONENT = 4;

    /** Preference for an endpoint that has not responded since its ejection. */
    private static final double UNRECOVERED_PREFERENCE = 0.74;

    /**
     * Preference for an endpoint that has not responded since its ejection, for a request that
     * cannot be retried.
     */
    private static final double UNRECOVERED_NOT_IDEMPOTENT_PREFERENCE = 0.38;

    /** Exponent of the success ratio. */
    private static final double SUCCESS_EXPONENT = 2;

    private final DerivedSettings settings;
    private final UtilizationWeights weights;
    private final PeerLoad peerLoad;
    private final SlowStart slowStart;
    private final EndpointTrust trust;
    private final OutlierDetection outliers;
    private final KeyAffinity keyAffinity;

    EndpointScore(
            DerivedSettings settings,
            UtilizationWeights weights,
            PeerLoad peerLoad,
            SlowStart slowStart,
            EndpointTrust trust,
            OutlierDetection outliers,
            KeyAffinity keyAffinity) {
        this.settings = settings;
        this.weights = weights;
        this.peerLoad = peerLoad;
        this.slowStart = slowStart;
        this.trust = trust;
        this.outliers = outliers;
        this.keyAffinity = keyAffinity;
    }

    /** Returns the endpoint's weight in the random pick; 0 or more. */
    double score(Endpoint endpoint, OpenRequest request, long nowMicros) {
        double weighted =
                weights.weight(endpoint)
                        * Math.pow(preference(endpoint, request, nowMicros), EXPONENT);
        return weighted / Math.pow(peerLoad.queueLength(endpoint, nowMicros) + 1, EXPONENT);
    }

    private double preference(Endpoint endpoint, OpenRequest request, long nowMicros) {
        return settings.capacityWeight(endpoint)
                * slowStart.warmUpFactor(endpoint, nowMicros)
                * trust.allowedFraction(endpoint)
                * Math.pow(1 - outliers.errorRatio(endpoint), SUCCESS_EXPONENT)
                * keyAffinity.zonePreference(endpoint)
                * keyAffinity.homePreference(endpoint, request)
                * recoveryPreference(endpoint, request);
    }

    private double recoveryPreference(Endpoint endpoint, OpenRequest request) {
        if (outliers.hasRecovered(endpoint)) {
            return 1;
        }
        return request.requestClass().idempotency() == Idempotency.NOT_IDEMPOTENT
                ? UNRECOVERED_NOT_IDEMPOTENT_PREFERENCE
                : UNRECOVERED_PREFERENCE;
    }
}
