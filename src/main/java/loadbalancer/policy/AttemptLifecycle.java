package loadbalancer.policy;

import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;

/** Attempts: sending one, counting what is in flight, and what follows on its end. */
final class AttemptLifecycle {
    static void send(PolicyState b, OpenRequest r, Endpoint up, long now) {
        b.held.remove(r);
        OutlierDetection.sent(up, now);
        Attempt t = new Attempt(up, now);
        r.attempts.add(t);
        if (!r.arriving) {
            count(b, r, t, now);
        }
        SlowStart.spend(b, up, r);
        b.out.sendAttempt(r.request.id(), up.id, 0);
        t.line = b.peers.line(up, now);
        InFlightExchange.tell(b, up);
    }

    /** From now on the upstream works on it. */
    static void count(PolicyState b, OpenRequest r, Attempt t, long now) {
        t.count(r.cost);
        t.limited =
                t.up.inFlight.requests() + b.peers.of(t.up, now) + 1 > ConcurrencyLimits.of(t.up);
    }

    static void ended(PolicyState b, long now, AttemptResult end) {
        OpenRequest r = b.open.get(end.requestId());
        if (r == null || end.attemptIndex() < 0 || end.attemptIndex() >= r.attempts.size()) {
            return;
        }
        Attempt t = r.attempts.get(end.attemptIndex());
        if (t.outstanding) {
            t.outstanding = false;
            t.mayHaveRun = !end.outcome().isProofOfNoExecution();
            t.uncount(r.cost);
            if (!r.streaming || r.cls.isStreaming() || end.outcome() != AttemptOutcome.SUCCESS) {
                AttemptOutcomes.note(b, r, t, end, now);
            }
            InFlightExchange.tell(b, t.up);
        }
        if (end.isRequestConcluded()) {
            r.ended = true;
        }
        if (r.ended) {
            b.open.forgetIfDone(r);
        } else if (r.outstanding() == 0) {
            next(b, r, now);
        }
        PendingRequests.pump(b, now);
    }

    /**
     * After an attempt has failed: another one where that is legal and of use, else the final
     * answer.
     */
    private static void next(PolicyState b, OpenRequest r, long now) {
        boolean over = FinalResponses.over(b, r, now);
        boolean mayHaveRun = r.guard() != null;
        Endpoint up = over || !mayHaveRun ? null : EndpointPicker.pick(b, r, now, true);
        if (up != null) {
            send(b, r, up, now);
        } else if (!over && !mayHaveRun && r.attempts.size() < r.limits.maxAttempts()) {
            PendingRequests.hold(b, r, now);
        } else {
            FinalResponses.finish(b, r, now);
        }
    }

    /** The answer has begun to come. */
    static void opened(PolicyState b, long now, String request, int attempt) {
        OpenRequest r = b.open.get(request);
        if (r == null) {
            return;
        }
        r.streaming = true;
        if (!r.cls.isStreaming() && attempt >= 0 && attempt < r.attempts.size()) {
            // A large answer: what is left is its way to the client, and that takes up no upstream.
            Attempt t = r.attempts.get(attempt);
            t.uncount(r.cost);
            AttemptOutcomes.note(
                    b,
                    r,
                    t,
                    new AttemptResult(
                            request,
                            attempt,
                            t.up.id,
                            AttemptOutcome.SUCCESS,
                            now - Math.max(t.sentAt, r.arrivedAt),
                            false,
                            null),
                    now);
            PendingRequests.pump(b, now);
        }
    }
}
