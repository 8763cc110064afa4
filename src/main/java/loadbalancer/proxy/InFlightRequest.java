package loadbalancer.proxy;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.RequestDescriptor;

/** One request from its arrival until it is answered and all its attempts have ended. */
final class InFlightRequest {
    final RequestDescriptor request;

    /** As of its arrival: new settings may have another class in its place, and other limits. */
    final String className;

    final LoadBalancerLimits limits;
    final SendGuard lastLook;
    final RequestAudit audit;
    final RequestHead head;
    final RequestBody body;
    final ResponseSink client;

    /** Counted from the last byte of the request: until that has come it lies far ahead. */
    long deadline;

    final List<UpstreamAttempt> attempts = new ArrayList<>(1);
    ScheduledFuture<?> atDeadline;

    /** Set while its body is held up: what it is then answered at. */
    ScheduledFuture<?> atStall;

    boolean concluded;

    /** Its client is being served by an attempt that can't be taken back. */
    boolean streaming;

    InFlightRequest(
            RequestDescriptor request,
            String className,
            LoadBalancerSettings settings,
            RequestHead head,
            RequestBody body,
            ResponseSink client,
            long deadline) {
        this.request = request;
        this.className = className;
        this.limits = settings.limits();
        this.lastLook =
                new SendGuard(
                        settings.requestClasses().get(request.classIndex()),
                        limits.isHedgingAllowed(),
                        settings.deadlineMarginMicros());
        this.audit =
                new RequestAudit(
                        request.id(),
                        settings.requestClasses().get(request.classIndex()),
                        limits.isHedgingAllowed(),
                        request.timeLeftMicros());
        this.head = head;
        this.body = body;
        this.client = client;
        this.deadline = deadline;
    }

    /** One more attempt, decided on now. */
    UpstreamAttempt add(String upstream, long now) {
        UpstreamAttempt next = new UpstreamAttempt(attempts.size(), upstream, now);
        attempts.add(next);
        return next;
    }

    /** Whether there may be one more attempt. */
    boolean maySend(long now) {
        return !concluded
                && attempts.size() < limits.maxAttempts()
                && deadline > now
                && (!outstanding() || limits.isHedgingAllowed())
                && body.isWhole();
    }

    /** Whether an attempt may begin at this instant: somebody waits for it, and it is legal. */
    boolean mayBegin(UpstreamAttempt next, long now) {
        return !concluded && !streaming && lastLook.allows(next, attempts, deadline, now);
    }

    boolean outstanding() {
        for (UpstreamAttempt t : attempts) {
            if (t.isOut()) {
                return true;
            }
        }
        return false;
    }
}
