package loadbalancer.policy;

import loadbalancer.LoadBalancer.Effect;
import loadbalancer.LoadBalancer.Scope;
import loadbalancer.LoadBalancer.Upstream;
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
        if (r.outstanding() > 0 && !r.limits.secondCopies()) {
            return false;
        }
        Attempt guard = r.guard();
        return guard == null
                || r.cls.effect() == Effect.SAFE
                || r.cls.effect() == Effect.KEYED
                        && sameGroup(r.cls.scope(), guard.up.entry(), up.entry())
                        && now - guard.sentAt < r.cls.memorySpan() - b.terms.margin;
    }

    private static boolean sameGroup(Scope scope, Upstream a, Upstream b) {
        return scope == Scope.ALL
                || scope == Scope.ZONE && a.zone() == b.zone()
                || scope == Scope.CELL && a.cell() == b.cell();
    }

    static boolean mayRefuse(OpenRequest r) {
        return r.cls.effect() == Effect.SAFE
                || r.guard() == null
                || r.cls.effect() == Effect.KEYED && r.cls.scope() == Scope.ALL;
    }
}
