package loadbalancer.policy;

import loadbalancer.EndpointDescriptor;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;

/** What is legal: whether a request may be sent, or sent again, and whether it may be refused. */
final class RetryEligibility {
    /** What rules 1 to 3 leave open for a further attempt. */
    static boolean maySend(PolicyState b, OpenRequest r, Endpoint up, long now) {
        if (r.ended
                || r.streaming
                || r.attempts.size() >= r.limits.maxAttempts()
                || FinalResponses.over(b, r, now)) {
            return false;
        }
        if (r.attempts.isEmpty()) {
            return true;
        }
        if (r.outstanding() > 0 && !r.limits.isHedgingAllowed()) {
            return false;
        }
        Attempt guard = r.guard();
        return guard == null
                || r.cls.idempotency() == Idempotency.IDEMPOTENT
                || r.cls.idempotency() == Idempotency.KEYED
                        && sameGroup(r.cls.idempotencyScope(), guard.up.entry(), up.entry())
                        && now - guard.sentAt < r.cls.idempotencyWindowMicros() - b.terms.margin;
    }

    private static boolean sameGroup(
            IdempotencyScope scope, EndpointDescriptor a, EndpointDescriptor b) {
        return scope == IdempotencyScope.ALL
                || scope == IdempotencyScope.ZONE && a.zoneIndex() == b.zoneIndex()
                || scope == IdempotencyScope.CELL && a.cellIndex() == b.cellIndex();
    }

    static boolean mayRefuse(OpenRequest r) {
        return r.cls.idempotency() == Idempotency.IDEMPOTENT
                || r.guard() == null
                || r.cls.idempotency() == Idempotency.KEYED
                        && r.cls.idempotencyScope() == IdempotencyScope.ALL;
    }
}
