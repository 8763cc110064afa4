package loadbalancer.policy;

import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;

/**
 * The filters that an endpoint must pass to receive a request.
 *
 * <p>Applies {@link RetryEligibility}, {@link OutlierDetection}, {@link LoadProbing} and {@link
 * SlowStart}, in this order. In panic mode, ejections are ignored.
 *
 * <p>Does not check capacity, which a retry may exceed: see {@link EndpointCapacity}.
 */
final class EndpointEligibility {
    private final RetryEligibility retryEligibility;
    private final OutlierDetection outliers;
    private final LoadProbing probing;
    private final SlowStart slowStart;

    EndpointEligibility(
            RetryEligibility retryEligibility,
            OutlierDetection outliers,
            LoadProbing probing,
            SlowStart slowStart) {
        this.retryEligibility = retryEligibility;
        this.outliers = outliers;
        this.probing = probing;
        this.slowStart = slowStart;
    }

    /** Returns whether the endpoint may receive the request now. */
    boolean isEligible(
            Endpoint endpoint, OpenRequest request, boolean isPanicMode, long nowMicros) {
        return retryEligibility.maySend(request, endpoint, nowMicros)
                && (isPanicMode || !outliers.isEjected(endpoint, nowMicros))
                && !probing.isLoadMissing(endpoint, nowMicros)
                && slowStart.hasBudget(endpoint, request, nowMicros);
    }
}
