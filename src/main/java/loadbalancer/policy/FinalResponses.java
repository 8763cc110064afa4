package loadbalancer.policy;

import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;

/** The final answer of a request that could not be served, in time. */
final class FinalResponses {
    private static final long LEAST_RETRY = 100_000; // least advice to a refused client

    /** A refusal where legal, else a failure. */
    static void finish(PolicyState b, OpenRequest r, long now) {
        b.held.remove(r);
        if (RetryEligibility.mayRefuse(r)) {
            b.out.reject(r.request.id(), retryAfter(b, r));
            if (!r.request.isRetry()) {
                r.classStats.refused(now - r.arrivedAt);
            }
        } else {
            b.out.fail(r.request.id());
        }
        conclude(b, r);
    }

    /**
     * When to come back: once the line of those held has passed at the pace at which requests come.
     */
    private static long retryAfter(PolicyState b, OpenRequest r) {
        if (!r.limits.isRetryAfterAllowed() || r.limits.maxRetryAfterMicros() <= 0) {
            return 0;
        }
        long line = (long) (b.held.size() * 1e6 / Math.max(1, b.traffic.rate()));
        return Math.max(1, Math.min(r.limits.maxRetryAfterMicros(), Math.max(LEAST_RETRY, line)));
    }

    /** Nothing is owed for it any more. */
    static void conclude(PolicyState b, OpenRequest r) {
        b.held.remove(r);
        r.ended = true;
        for (int i = 0; i < r.attempts.size(); i++) {
            if (r.attempts.get(i).outstanding && r.limits.isCancellationAllowed() && !r.streaming) {
                b.out.cancelAttempt(r.request.id(), i);
            }
        }
        b.open.forgetIfDone(r);
    }

    /** Whether its time for another attempt is over. */
    static boolean over(PolicyState b, OpenRequest r, long now) {
        return now >= r.deadline - b.terms.margin;
    }

    static void timer(PolicyState b, long now) {
        b.open.dueAt = now >= b.open.dueAt ? Long.MAX_VALUE : b.open.dueAt;
        expire(b, now);
    }

    /**
     * Ends what is overdue and sets a timer for the next: on the sweep alone, an answer came up to
     * a sweep less the margin after the deadline, and that is beyond the slack where ticks are
     * short.
     */
    static void expire(PolicyState b, long now) {
        for (OpenRequest r = b.open.nextDue(); r != null; r = b.open.nextDue()) {
            long due = r.deadline - b.terms.margin;
            if (!r.ended && due > now) {
                if (due < b.open.dueAt) {
                    b.open.dueAt = due;
                    b.out.scheduleTimer("due", due - now);
                }
                return;
            }
            b.open.dropDue();
            if (!r.ended && !r.streaming) {
                finish(b, r, now);
            }
        }
    }
}
