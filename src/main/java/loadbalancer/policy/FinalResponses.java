package loadbalancer.policy;

import loadbalancer.LoadBalancerActions;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.OpenRequests;
import loadbalancer.policy.state.PendingRequestQueue;
import loadbalancer.policy.state.Traffic;

/**
 * Final responses to requests that no endpoint has served.
 *
 * <p>Decides between rejection and failure, computes the Retry-After time, and responds when a
 * request's deadline is near. Inputs are {@link RetryEligibility}, the deadlines, the number of
 * pending requests and the arrival rate.
 *
 * <p>Each request gets at most one final response, and none after its response has begun.
 */
final class FinalResponses {
    /** Token of the timer for the next due response. */
    static final String TIMER_TOKEN = "due";

    private static final long MIN_RETRY_AFTER_MICROS = 100_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private final OpenRequests openRequests;
    private final PendingRequestQueue pendingQueue;
    private final RetryEligibility retryEligibility;
    private final Traffic traffic;
    private final LoadBalancerActions actions;
    private long timerDueAtMicros = Long.MAX_VALUE;

    FinalResponses(
            OpenRequests openRequests,
            PendingRequestQueue pendingQueue,
            RetryEligibility retryEligibility,
            Traffic traffic,
            LoadBalancerActions actions) {
        this.openRequests = openRequests;
        this.pendingQueue = pendingQueue;
        this.retryEligibility = retryEligibility;
        this.traffic = traffic;
        this.actions = actions;
    }

    /** Rejects the request if the client may retry it, otherwise fails it. */
    void rejectOrFail(OpenRequest request, long nowMicros) {
        pendingQueue.remove(request);
        if (retryEligibility.mayReject(request)) {
            actions.reject(request.id(), retryAfterMicros(request));
            if (!request.request().isRetry()) {
                request.classStats().recordRejection(nowMicros - request.arrivedAtMicros());
            }
        } else {
            actions.fail(request.id());
        }
        conclude(request);
    }

    /**
     * Returns the time in which the pending requests would be served at the current arrival rate; 0
     * if no Retry-After time is given.
     */
    private long retryAfterMicros(OpenRequest request) {
        if (!request.limits().isRetryAfterAllowed()
                || request.limits().maxRetryAfterMicros() <= 0) {
            return 0;
        }
        double requestsPerSecond = Math.max(1, traffic.requestsPerSecond());
        long queueMicros = (long) (pendingQueue.size() * MICROS_PER_SECOND / requestsPerSecond);
        long estimatedMicros = Math.max(MIN_RETRY_AFTER_MICROS, queueMicros);
        return Math.max(1, Math.min(request.limits().maxRetryAfterMicros(), estimatedMicros));
    }

    /** Concludes the request without a response, because the client has disconnected. */
    void clientDisconnected(String requestId) {
        OpenRequest request = openRequests.get(requestId);
        if (request != null && !request.isConcluded()) {
            conclude(request);
        }
    }

    /**
     * Concludes the request and cancels its outstanding attempts if the settings allow
     * cancellation.
     */
    private void conclude(OpenRequest request) {
        pendingQueue.remove(request);
        request.markConcluded();
        for (int i = 0; i < request.attemptCount(); i++) {
            if (request.attempt(i).isOutstanding()
                    && request.limits().isCancellationAllowed()
                    && !request.isResponding()) {
                actions.cancelAttempt(request.id(), i);
            }
        }
        openRequests.removeIfDone(request);
    }

    /** Handles the timer for the next due response. */
    void onTimer(long nowMicros) {
        if (nowMicros >= timerDueAtMicros) {
            timerDueAtMicros = Long.MAX_VALUE;
        }
        respondWhereDue(nowMicros);
    }

    /** Responds to requests whose response is due, and sets a timer for the next one. */
    void respondWhereDue(long nowMicros) {
        OpenRequest request = openRequests.earliestDeadline();
        while (request != null) {
            long dueAtMicros = retryEligibility.responseDueMicros(request);
            if (!request.isConcluded() && dueAtMicros > nowMicros) {
                setTimer(dueAtMicros, nowMicros);
                return;
            }
            openRequests.removeEarliestDeadline();
            if (!request.isConcluded() && !request.isResponding()) {
                rejectOrFail(request, nowMicros);
            }
            request = openRequests.earliestDeadline();
        }
    }

    private void setTimer(long dueAtMicros, long nowMicros) {
        if (dueAtMicros < timerDueAtMicros) {
            timerDueAtMicros = dueAtMicros;
            actions.scheduleTimer(TIMER_TOKEN, dueAtMicros - nowMicros);
        }
    }
}
