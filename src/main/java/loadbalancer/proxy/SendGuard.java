package loadbalancer.proxy;

import java.util.List;
import loadbalancer.Idempotency;
import loadbalancer.RequestClass;

/**
 * What still has to hold when the first byte of an attempt is about to go out. The module has
 * looked at it when it decided, but a dial, a held-up body or a loop that lags lies between. Where
 * an attempt may go (scope, drain) is not asked again here.
 *
 * @param cls the class as the request came under it
 * @param secondCopies whether two attempts of a request may be out at a time
 * @param margin the module's: how long before a limit it counts as reached, microseconds
 */
record SendGuard(RequestClass cls, boolean secondCopies, long margin) {
    /**
     * Whether {@code next}, one of {@code all}, may begin now; the request is owed an answer by
     * deadline.
     */
    boolean allows(UpstreamAttempt next, List<UpstreamAttempt> all, long deadline, long now) {
        if (now >= deadline - margin) {
            return false;
        }
        for (UpstreamAttempt other : all) {
            if (other != next
                    && (other.isBegun() && !secondCopies
                            || other.mayHaveRun() && !mayRepeat(other, now))) {
                return false;
            }
        }
        return true;
    }

    private boolean mayRepeat(UpstreamAttempt earlier, long now) {
        return cls.idempotency() == Idempotency.IDEMPOTENT
                || cls.idempotency() == Idempotency.KEYED
                        && now - earlier.sentAt < cls.idempotencyWindowMicros() - margin;
    }
}
