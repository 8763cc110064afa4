package loadbalancer.policy;

import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;

/**
 * What follows when all attempts of a request have failed.
 *
 * <p>Decides between a retry at once, waiting for an endpoint, and the final response. An attempt
 * that may have run is retried at once on any endpoint that {@link EndpointEligibility} allows,
 * full or not; if none has run, the request waits like a new one.
 *
 * <p>Inputs: whether an attempt may have run, the number of attempts, the deadline in microseconds.
 *
 * <p>Never retries against {@link RetryEligibility}.
 */
final class FailedAttempts {
    private final RetryEligibility retryEligibility;
    private final EndpointPicker picker;
    private final AttemptSender sender;
    private final PendingRequests pendingRequests;
    private final FinalResponses finalResponses;

    FailedAttempts(
            RetryEligibility retryEligibility,
            EndpointPicker picker,
            AttemptSender sender,
            PendingRequests pendingRequests,
            FinalResponses finalResponses) {
        this.retryEligibility = retryEligibility;
        this.picker = picker;
        this.sender = sender;
        this.pendingRequests = pendingRequests;
        this.finalResponses = finalResponses;
    }

    /** Retries the request, lets it wait, or gives its final response. */
    void retryOrRespond(OpenRequest request, long nowMicros) {
        if (retryEligibility.isResponseDue(request, nowMicros)) {
            finalResponses.rejectOrFail(request, nowMicros);
        } else if (request.firstThatMayHaveRun() != null) {
            retryAtOnce(request, nowMicros);
        } else if (request.attemptCount() < request.limits().maxAttempts()) {
            pendingRequests.enqueue(request, nowMicros);
        } else {
            finalResponses.rejectOrFail(request, nowMicros);
        }
    }

    private void retryAtOnce(OpenRequest request, long nowMicros) {
        Endpoint endpoint = picker.pickForRetry(request, nowMicros);
        if (endpoint != null) {
            sender.send(request, endpoint, nowMicros);
        } else {
            finalResponses.rejectOrFail(request, nowMicros);
        }
    }
}
