package loadbalancer.proxy;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;

/**
 * One request from its arrival until it has its final response and all its attempts have ended. The
 * settings are those it arrived under. Used on the event loop only; times are the policy's.
 */
final class InFlightRequest {
    private final RequestDescriptor descriptor;
    private final String className;
    private final LoadBalancerLimits limits;
    private final SendGuard sendGuard;
    private final RequestAudit audit;
    private final RequestHead head;
    private final RequestBody body;
    private final ResponseSink client;
    private final List<UpstreamAttempt> attempts = new ArrayList<>(1);

    /** Counted from the last byte of the request; until that is read it lies far ahead. */
    private long deadlineMicros;

    private ScheduledFuture<?> deadlineTimer;

    /** Set while the body is blocked. */
    private ScheduledFuture<?> stallTimer;

    private boolean concluded;
    private boolean streaming;

    InFlightRequest(
            RequestDescriptor descriptor,
            String className,
            LoadBalancerSettings settings,
            RequestHead head,
            RequestBody body,
            ResponseSink client) {
        RequestClass requestClass = settings.requestClasses().get(descriptor.classIndex());
        this.descriptor = descriptor;
        this.className = className;
        this.limits = settings.limits();
        this.sendGuard =
                new SendGuard(
                        requestClass, limits.isHedgingAllowed(), settings.deadlineMarginMicros());
        this.audit =
                new RequestAudit(
                        descriptor.id(),
                        requestClass,
                        limits.isHedgingAllowed(),
                        descriptor.timeLeftMicros());
        this.head = head;
        this.body = body;
        this.client = client;
    }

    String id() {
        return descriptor.id();
    }

    RequestDescriptor descriptor() {
        return descriptor;
    }

    /** Name of its class, under which it is counted. */
    String className() {
        return className;
    }

    LoadBalancerLimits limits() {
        return limits;
    }

    RequestAudit audit() {
        return audit;
    }

    RequestHead head() {
        return head;
    }

    RequestBody body() {
        return body;
    }

    ResponseSink client() {
        return client;
    }

    // Time

    long deadlineMicros() {
        return deadlineMicros;
    }

    /** Sets the deadline, and the timer that expires at it in place of the one before. */
    void setDeadline(long micros, ScheduledFuture<?> timer) {
        cancelDeadlineTimer();
        deadlineMicros = micros;
        deadlineTimer = timer;
    }

    /** The deadline is now: nothing may be sent any more. */
    void expireNow(long nowMicros) {
        deadlineMicros = nowMicros;
    }

    void cancelDeadlineTimer() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
    }

    void setStallTimer(ScheduledFuture<?> timer) {
        stallTimer = timer;
    }

    void cancelStallTimer() {
        if (stallTimer != null) {
            stallTimer.cancel(false);
            stallTimer = null;
        }
    }

    // Response

    /** Whether its final response is given, or its client has disconnected. */
    boolean isConcluded() {
        return concluded;
    }

    void conclude() {
        concluded = true;
    }

    /** Whether its client is being served by an attempt that can't be taken back. */
    boolean isStreaming() {
        return streaming;
    }

    void startStreaming() {
        streaming = true;
        cancelDeadlineTimer();
    }

    // Attempts

    List<UpstreamAttempt> attempts() {
        return attempts;
    }

    /** Adds an attempt that the policy has decided on now. */
    UpstreamAttempt addAttempt(String endpointId, long nowMicros) {
        UpstreamAttempt attempt = new UpstreamAttempt(attempts.size(), endpointId, nowMicros);
        attempts.add(attempt);
        return attempt;
    }

    /** Whether there may be one more attempt. */
    boolean mayAddAttempt(long nowMicros) {
        return !concluded
                && attempts.size() < limits.maxAttempts()
                && deadlineMicros > nowMicros
                && (!hasOutstandingAttempt() || limits.isHedgingAllowed())
                && body.isReplayable();
    }

    /** Whether an attempt may begin at this instant: somebody waits for it, and it is legal. */
    boolean mayBegin(UpstreamAttempt attempt, long nowMicros) {
        return !concluded
                && !streaming
                && sendGuard.allows(attempt, attempts, deadlineMicros, nowMicros);
    }

    boolean hasOutstandingAttempt() {
        for (UpstreamAttempt attempt : attempts) {
            if (attempt.isOutstanding()) {
                return true;
            }
        }
        return false;
    }
}
