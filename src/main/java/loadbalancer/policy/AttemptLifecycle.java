package loadbalancer.policy;

import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.OpenRequests;

/**
 * Handles the events between sending an attempt and its result: the request body is complete, a
 * response begins, an attempt ends.
 *
 * <p>Decides which rules receive an event, in which order, and until when an attempt counts as in
 * flight.
 *
 * <p>Events for an unknown request or attempt are ignored.
 */
final class AttemptLifecycle {
    private final OpenRequests openRequests;
    private final AttemptSender sender;
    private final OutcomeRecorder outcomes;
    private final FailedAttempts failedAttempts;
    private final InFlightExchange exchange;
    private final PendingRequests pendingRequests;
    private final FinalResponses finalResponses;

    AttemptLifecycle(
            OpenRequests openRequests,
            AttemptSender sender,
            OutcomeRecorder outcomes,
            FailedAttempts failedAttempts,
            InFlightExchange exchange,
            PendingRequests pendingRequests,
            FinalResponses finalResponses) {
        this.openRequests = openRequests;
        this.sender = sender;
        this.outcomes = outcomes;
        this.failedAttempts = failedAttempts;
        this.exchange = exchange;
        this.pendingRequests = pendingRequests;
        this.finalResponses = finalResponses;
    }

    /**
     * Handles the completion of a request body: the time of the request starts, and endpoints can
     * work on it.
     */
    void onBodyComplete(String requestId, long nowMicros) {
        OpenRequest request = openRequests.get(requestId);
        if (request == null || request.isConcluded() || !request.isBodyIncomplete()) {
            return;
        }
        request.markBodyComplete();
        openRequests.restartClock(request, nowMicros);
        for (int i = 0; i < request.attemptCount(); i++) {
            if (request.attempt(i).isOutstanding()) {
                sender.startWork(request, request.attempt(i), nowMicros);
            }
        }
        pendingRequests.sendPending(nowMicros);
        finalResponses.respondWhereDue(nowMicros);
    }

    /** Handles the start of a response. */
    void onResponseStart(String requestId, int attemptIndex, long nowMicros) {
        OpenRequest request = openRequests.get(requestId);
        if (request == null) {
            return;
        }
        request.markResponding();
        if (!request.requestClass().isStreaming() && request.hasAttempt(attemptIndex)) {
            recordLargeResponse(request, request.attempt(attemptIndex), nowMicros);
        }
    }

    /**
     * Records the outcome when the response starts: the endpoint's work is done, and only the
     * transfer to the client remains.
     */
    private void recordLargeResponse(OpenRequest request, Attempt attempt, long nowMicros) {
        attempt.finishWork(request.costMicros());
        long startedAtMicros = Math.max(attempt.sentAtMicros(), request.arrivedAtMicros());
        outcomes.record(
                request, attempt, AttemptOutcome.SUCCESS, nowMicros - startedAtMicros, nowMicros);
        pendingRequests.sendPending(nowMicros);
    }

    /** Handles the end of an attempt. */
    void onAttemptEnd(AttemptResult result, long nowMicros) {
        OpenRequest request = openRequests.get(result.requestId());
        if (request == null || !request.hasAttempt(result.attemptIndex())) {
            return;
        }
        Attempt attempt = request.attempt(result.attemptIndex());
        if (attempt.isOutstanding()) {
            recordEnd(request, attempt, result, nowMicros);
        }
        if (result.isRequestConcluded()) {
            request.markConcluded();
        }
        if (request.isConcluded()) {
            openRequests.removeIfDone(request);
        } else if (request.outstandingCount() == 0) {
            failedAttempts.retryOrRespond(request, nowMicros);
        }
        pendingRequests.sendPending(nowMicros);
    }

    private void recordEnd(
            OpenRequest request, Attempt attempt, AttemptResult result, long nowMicros) {
        attempt.markEnded(result.outcome());
        attempt.finishWork(request.costMicros());
        boolean isRecordedAtStart =
                request.isResponding()
                        && !request.requestClass().isStreaming()
                        && result.outcome() == AttemptOutcome.SUCCESS;
        if (!isRecordedAtStart) {
            outcomes.record(request, attempt, result.outcome(), result.durationMicros(), nowMicros);
        }
        exchange.notifyPeers(attempt.endpoint());
    }
}
