package loadbalancer.proxy;

import java.util.List;
import loadbalancer.Idempotency;
import loadbalancer.RequestClass;

/**
 * Checks once more whether an attempt may begin, right before its first byte goes out: between the
 * policy's decision and that moment lie a connect, a blocked body or a late event loop. Where an
 * attempt may go (idempotency scope, draining) is not checked here.
 *
 * @param requestClass the class as the request arrived under it
 * @param isHedgingAllowed whether two attempts of a request may be outstanding at a time
 * @param marginMicros how long before a limit it counts as reached
 */
record SendGuard(RequestClass requestClass, boolean isHedgingAllowed, long marginMicros) {
    /**
     * Whether {@code next}, one of {@code all} attempts, may begin now.
     *
     * @param deadlineMicros when the final response is owed
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
        return wouldBeHedged || other.mayHaveRun() && !mayRetryAfter(other, nowMicros);
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
