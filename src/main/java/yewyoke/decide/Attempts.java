package yewyoke.decide;

import yewyoke.Balancer.AttemptEnd;
import yewyoke.Balancer.Outcome;
import yewyoke.decide.state.Attempt;
import yewyoke.decide.state.Host;
import yewyoke.decide.state.OpenRequest;
import yewyoke.decide.state.PolicyState;

/** Attempts: sending one, counting what is in flight, and what follows on its end. */
final class Attempts {
    static void send(PolicyState b, OpenRequest r, Host up, long now) {
        b.held.remove(r);
        Health.sent(up, now);
        Attempt t = new Attempt(up, now);
        r.attempts.add(t);
        if (!r.arriving) {
            count(b, r, t, now);
        }
        ColdBudgets.spend(b, up, r);
        b.out.send(r.request.id(), up.id, 0);
        t.line = b.peers.line(up, now);
        PeerSync.tell(b, up);
    }

    /** From now on the upstream works on it. */
    static void count(PolicyState b, OpenRequest r, Attempt t, long now) {
        t.count(r.cost);
        t.limited = t.up.inFlight.requests() + b.peers.of(t.up, now) + 1 > InFlightLimits.of(t.up);
    }

    static void ended(PolicyState b, long now, AttemptEnd end) {
        OpenRequest r = b.open.get(end.request());
        if (r == null || end.attempt() < 0 || end.attempt() >= r.attempts.size()) {
            return;
        }
        Attempt t = r.attempts.get(end.attempt());
        if (t.outstanding) {
            t.outstanding = false;
            t.mayHaveRun = !end.outcome().neverRan;
            t.uncount(r.cost);
            if (!r.streaming || r.cls.stream() || end.outcome() != Outcome.OK) {
                Outcomes.note(b, r, t, end, now);
            }
            PeerSync.tell(b, t.up);
        }
        if (end.concluded()) {
            r.ended = true;
        }
        if (r.ended) {
            b.open.forgetIfDone(r);
        } else if (r.outstanding() == 0) {
            next(b, r, now);
        }
        Waiting.pump(b, now);
    }

    /** After an attempt has failed: another one where that is legal and of use, else the final answer. */
    private static void next(PolicyState b, OpenRequest r, long now) {
        boolean over = Answers.over(b, r, now);
        boolean mayHaveRun = r.guard() != null;
        Host up = over || !mayHaveRun ? null : Pick.pick(b, r, now, true);
        if (up != null) {
            send(b, r, up, now);
        } else if (!over && !mayHaveRun && r.attempts.size() < r.limits.maxAttempts()) {
            Waiting.hold(b, r, now);
        } else {
            Answers.finish(b, r, now);
        }
    }

    /** The answer has begun to come. */
    static void opened(PolicyState b, long now, String request, int attempt) {
        OpenRequest r = b.open.get(request);
        if (r == null) {
            return;
        }
        r.streaming = true;
        if (!r.cls.stream() && attempt >= 0 && attempt < r.attempts.size()) {
            // A large answer: what is left is its way to the client, and that takes up no upstream.
            Attempt t = r.attempts.get(attempt);
            t.uncount(r.cost);
            Outcomes.note(b, r, t, new AttemptEnd(request, attempt, t.up.id, Outcome.OK,
                    now - Math.max(t.sentAt, r.arrivedAt), false, null), now);
            Waiting.pump(b, now);
        }
    }
}
