package loadbalancer.policy;

import loadbalancer.Idempotency;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PeerLoad;

/**
 * The score of an endpoint for a request: weight * (preference / (queue length + 1)) ^ exponent.
 *
 * <p>Decides how likely an endpoint is picked among others. A preference of 2 makes up for a queue
 * twice as long.
 *
 * <p>Inputs: the utilisation weight; queue length in mean requests; the preferences by capacity
 * weight, warm-up, trust, error ratio, zone, home of the key and recovery from an ejection, which
 * have no unit and are neutral at 1.
 *
 * <p>Never excludes an endpoint: see {@link EndpointEligibility}.
 */
final class EndpointScore {
    /** High, so that a clearly shorter queue nearly always wins. */
    private static final double EXPONENT = 4;

    /** Preference for an endpoint that has not responded since its ejection. */
    private static final double UNRECOVERED = 0.74;

    /** The same for a request that can't be retried. */
    private static final double UNRECOVERED_FOR_UNSAFE = 0.38;

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

    /** The endpoint's weight in the draw, 0 or more. */
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
                ? UNRECOVERED_FOR_UNSAFE
                : UNRECOVERED;
    }
}
