package loadbalancer.proxy;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;

/**
 * A request from its arrival until it has its final response and all its attempts have ended. It
 * keeps the settings that were in force when it arrived. Used on the event loop only; times are in
 * microseconds of {@link PolicyClock}.
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
    private final RecentRequestIds recentIds;
    private final List<UpstreamAttempt> attempts = new ArrayList<>(1);

    /**
     * The deadline, counted from the last byte of the request. Until that byte is read, {@link
     * RequestTimers#MAX_BODY_MICROS} is added to it.
     */
    private long deadlineMicros;

    private ScheduledFuture<?> deadlineTimer;

    /** Null unless the body is blocked. */
    private ScheduledFuture<?> stallTimer;

    /** Whether the id is among the recent ones because of this request. */
    private boolean idRecorded;

    private boolean concluded;
    private boolean streaming;

    InFlightRequest(
            RequestDescriptor descriptor,
            String className,
            LoadBalancerSettings settings,
            RequestHead head,
            RequestBody body,
            ResponseSink client,
            RecentRequestIds recentIds) {
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
        this.recentIds = recentIds;
    }

    String id() {
        return descriptor.id();
    }

    RequestDescriptor descriptor() {
        return descriptor;
    }

    /** Returns the name of the request class, under which the metrics count the request. */
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

    /**
     * Returns the time left if the client has written its last byte: the time that the request came
     * with, less that for which its body was not read.
     */
    long minTimeLeftMicros() {
        long waitMicros = TimeUnit.NANOSECONDS.toMicros(body.timing().maxWaitNanos());
        return Math.max(0, descriptor.timeLeftMicros() - waitMicros);
    }

    /** Sets the deadline and its timer, and cancels the previous timer. */
    void setDeadline(long micros, ScheduledFuture<?> timer) {
        cancelDeadlineTimer();
        deadlineMicros = micros;
        deadlineTimer = timer;
    }

    /** Moves the deadline to now, so that no further attempt may begin. */
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

    /** Returns whether the final response has been given, or the client has disconnected. */
    boolean isConcluded() {
        return concluded;
    }

    void conclude() {
        concluded = true;
    }

    /** Returns whether the response of an attempt has started to be streamed to the client. */
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

    /** Adds an attempt that the policy decided on at this time. */
    UpstreamAttempt addAttempt(String endpointId, long nowMicros) {
        UpstreamAttempt attempt = new UpstreamAttempt(attempts.size(), endpointId, nowMicros);
        attempts.add(attempt);
        return attempt;
    }

    /**
     * Returns whether a further attempt may be added: the request is not concluded, its limits and
     * deadline permit another attempt, and its body is still buffered in full.
     */
    boolean mayAddAttempt(long nowMicros) {
        return !concluded
                && attempts.size() < limits.maxAttempts()
                && deadlineMicros > nowMicros
                && (!hasOutstandingAttempt() || limits.isHedgingAllowed())
                && body.isReplayable();
    }

    /**
     * Returns whether an attempt may begin now: its client still waits for a response, and {@link
     * SendGuard} allows the attempt.
     */
    boolean mayBegin(UpstreamAttempt attempt, long nowMicros) {
        return !concluded
                && !streaming
                && sendGuard.allows(attempt, attempts, deadlineMicros, nowMicros);
    }

    /**
     * Records the id before the first byte of an attempt is sent.
     *
     * @return false if another request with this id may have been executed, for example by another
     *     process of this balancer; this one must not be sent then
     */
    boolean recordId() {
        idRecorded = idRecorded || recentIds.add(id());
        return idRecorded;
    }

    /** Forgets the id after the last attempt if none may have been executed. */
    void forgetIdIfNotExecuted() {
        if (idRecorded && attempts.stream().noneMatch(UpstreamAttempt::mayHaveBeenExecuted)) {
            recentIds.remove(id());
        }
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
