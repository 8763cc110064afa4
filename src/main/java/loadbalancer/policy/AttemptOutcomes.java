package loadbalancer.policy;

import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;

/** What the end of an attempt says of its upstream. */
final class AttemptOutcomes {
    private static final double SHORT_LINE = 3; // one that rejects at less is draining, not full

    static void note(PolicyState b, OpenRequest r, Attempt t, AttemptResult end, long now) {
        Endpoint up = t.up;
        if (end.outcome() == AttemptOutcome.SUCCESS) {
            served(b, r, t, end.durationMicros(), now);
        } else if (end.outcome() == AttemptOutcome.TIMEOUT
                || end.outcome() == AttemptOutcome.CANCELLED) {
            // No answer is the longest waiting there is; the work may still run there.
            b.times.unanswered(up, end.durationMicros(), t.line);
            ConcurrencyLimits.adjust(
                    b,
                    up,
                    t,
                    end.durationMicros() - r.ownService(b.times.least(up)),
                    r.cls.latencyObjectiveMicros(),
                    now);
        } else if (end.outcome() == AttemptOutcome.CONNECT_FAILED) {
            OutlierDetection.unreachable(up, t.sentAt, now);
        } else if (end.outcome() == AttemptOutcome.REJECTED) {
            rejected(b, r, t, now);
        } else if (end.outcome() == AttemptOutcome.ERROR
                || end.outcome() == AttemptOutcome.CONNECTION_RESET) {
            OutlierDetection.erred(up, now);
        } else if (end.outcome() == AttemptOutcome.NOT_SENT) {
            SlowStart.giveBack(b, up, r);
        }
        ConcurrencyLimits.restIfCrowded(b, up, now);
    }

    private static void served(PolicyState b, OpenRequest r, Attempt t, long took, long now) {
        OutlierDetection.served(t.up, now);
        SlowStart.served(b, t.up, r, now);
        b.times.answered(t.up, took, t.line);
        ConcurrencyLimits.adjust(
                b,
                t.up,
                t,
                b.times.waitOf(t.up, r, took, now),
                r.cls.latencyObjectiveMicros(),
                now);
        r.classStats.answered(took);
    }

    private static void rejected(PolicyState b, OpenRequest r, Attempt t, long now) {
        ConcurrencyLimits.rejected(t.up);
        if ((b.terms.tells || b.terms.asks && LoadProbing.fresh(b, t.up, now))
                && t.line < SHORT_LINE) {
            // Rejecting with next to nothing to do: draining, and the list has yet to say so.
            OutlierDetection.eject(t.up, now);
        } else {
            // What others have there takes an aim to pass.
            double line = r.cls.latencyObjectiveMicros() / Math.max(b.times.pace(t.up), 1);
            b.peers.saw(t.up, Math.max(b.peers.seen(t.up), line), now);
        }
    }
}
