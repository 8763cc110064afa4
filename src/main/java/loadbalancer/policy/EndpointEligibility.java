package loadbalancer.policy;

import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;

/**
 * The filters that an endpoint must pass to get a request.
 *
 * <p>Decides by {@link RetryEligibility}, {@link OutlierDetection}, {@link LoadProbing} and {@link
 * SlowStart}, in this order.
 *
 * <p>Inputs: those of the rules; whether ejections are ignored (panic).
 *
 * <p>Never looks at capacity, which a retry may exceed: see {@link EndpointCapacity}.
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

    /** Whether the endpoint may get the request now. */
    boolean isEligible(
            Endpoint endpoint, OpenRequest request, boolean isPanicking, long nowMicros) {
        return retryEligibility.maySend(request, endpoint, nowMicros)
                && (isPanicking || !outliers.isEjected(endpoint, nowMicros))
                && !probing.isLoadMissing(endpoint, nowMicros)
                && slowStart.hasBudget(endpoint, request, nowMicros);
    }
}
