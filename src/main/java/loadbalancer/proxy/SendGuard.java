package loadbalancer.proxy;

import java.util.List;
import loadbalancer.Idempotency;
import loadbalancer.RequestClass;

/**
 * Decides whether an attempt may still begin, right before its first byte is sent. A connect, a
 * blocked body or a late event loop can take a long time after the decision of the policy. The
 * choice of the endpoint (idempotency scope, draining) is not checked here.
 *
 * @param requestClass the request class as it was when the request arrived
 * @param isHedgingAllowed whether two attempts of a request may be outstanding at the same time
 * @param marginMicros time before a limit from which on the limit counts as reached
 */
record SendGuard(RequestClass requestClass, boolean isHedgingAllowed, long marginMicros) {
    /**
     * Returns whether an attempt may begin now.
     *
     * @param next the attempt to begin
     * @param all all attempts of its request, including {@code next}
     * @param deadlineMicros time by which the client needs its final response
     */
    boolean allows(
            UpstreamAttempt next, List<UpstreamAttempt> all, long deadlineMicros, long nowMicros) {
        if (nowMicros >= deadlineMicros - marginMicros) {
            return false;
        }
        for (UpstreamAttempt other : all) {
            if (other != next && forbids(other, nowMicros)) {
                return false;
            }
        }
        return true;
    }

    private boolean forbids(UpstreamAttempt other, long nowMicros) {
        boolean wouldBeHedged = other.isBegun() && !isHedgingAllowed;
        return wouldBeHedged || other.mayHaveBeenExecuted() && !mayRetryAfter(other, nowMicros);
    }

    private boolean mayRetryAfter(UpstreamAttempt earlier, long nowMicros) {
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        long sinceMicros = nowMicros - earlier.decidedAtMicros();
        return requestClass.idempotency() == Idempotency.KEYED
                && sinceMicros < requestClass.idempotencyWindowMicros() - marginMicros;
    }
}
