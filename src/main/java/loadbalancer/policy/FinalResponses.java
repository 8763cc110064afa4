package loadbalancer.policy;

import loadbalancer.LoadBalancerActions;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.OpenRequests;
import loadbalancer.policy.state.PendingRequestQueue;
import loadbalancer.policy.state.Traffic;

/**
 * The final response to a request that no endpoint has served.
 *
 * <p>Decides between rejection and failure, the Retry-After time, and when the response is due.
 *
 * <p>Inputs: {@link RetryEligibility}, the deadline in microseconds, the number of pending requests
 * and the rate of arrivals a second.
 *
 * <p>Never gives a second final response, and none to a request whose response has begun.
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

    /** Rejects the request if the client may retry it, else fails it. */
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
     * The time in which the pending requests pass at the rate at which requests arrive; 0: none.
     */
    private long retryAfterMicros(OpenRequest request) {
        if (!request.limits().isRetryAfterAllowed()
                || request.limits().maxRetryAfterMicros() <= 0) {
            return 0;
        }
        double requestsPerSecond = Math.max(1, traffic.requestsPerSecond());
        long queueMicros = (long) (pendingQueue.size() * MICROS_PER_SECOND / requestsPerSecond);
        long adviceMicros = Math.max(MIN_RETRY_AFTER_MICROS, queueMicros);
        return Math.max(1, Math.min(request.limits().maxRetryAfterMicros(), adviceMicros));
    }

    /** The client has closed its connection: concludes the request without a response. */
    void clientDisconnected(String requestId) {
        OpenRequest request = openRequests.get(requestId);
        if (request != null && !request.isEnded()) {
            conclude(request);
        }
    }

    /** Nothing is owed to the client any more: cancels attempts where the settings allow for it. */
    private void conclude(OpenRequest request) {
        pendingQueue.remove(request);
        request.markEnded();
        for (int i = 0; i < request.attemptCount(); i++) {
            if (request.attempt(i).isOutstanding()
                    && request.limits().isCancellationAllowed()
                    && !request.isResponding()) {
                actions.cancelAttempt(request.id(), i);
            }
        }
        openRequests.removeIfDone(request);
    }

    /** The timer for the next due response has fired. */
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
            if (!request.isEnded() && dueAtMicros > nowMicros) {
                setTimer(dueAtMicros, nowMicros);
                return;
            }
            openRequests.removeEarliestDeadline();
            if (!request.isEnded() && !request.isResponding()) {
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
