package loadbalancer.policy;

import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;

/**
 * Handles a request all of whose attempts have failed.
 *
 * <p>Chooses between an immediate retry, waiting for an endpoint and the final response. If an
 * attempt may have been executed, the request is retried at once on any endpoint that {@link
 * EndpointEligibility} allows, whether or not it has capacity; otherwise the request waits like a
 * new one. Inputs are the attempts and the deadline.
 *
 * <p>Every retry is subject to {@link RetryEligibility}.
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

    /** Retries the request, adds it to the pending requests, or gives its final response. */
    void retryOrRespond(OpenRequest request, long nowMicros) {
        if (retryEligibility.isResponseDue(request, nowMicros)) {
            finalResponses.rejectOrFail(request, nowMicros);
        } else if (request.firstPossiblyExecutedAttempt() != null) {
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
