package loadbalancer.lab.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.RequestClass;

/**
 * Holds the four rules against what one balancer was told and what it did. It knows nothing of how
 * anything decides, and shares no code with the module.
 */
final class RuleOracle {
    private final Gateway gateway;
    private final EventQueue agenda;
    private final Registry registry;
    private final Tally tally;
    private final Map<String, EndpointDescriptor> listed = new HashMap<>();
    private final Map<String, Long> closedAt = new HashMap<>();
    private final Map<Try, Case> cases = new IdentityHashMap<>();

    /** One attempt as this checker remembers it. */
    private static final class Sent {
        final Attempt attempt;
        boolean out = true;
        boolean mayHaveRun = true;

        Sent(Attempt attempt) {
            this.attempt = attempt;
        }
    }

    private static final class Case {
        final RequestClass cls;
        final boolean secondCopies;
        final List<Sent> sent = new ArrayList<>(1);

        Case(RequestClass cls, boolean secondCopies) {
            this.cls = cls;
            this.secondCopies = secondCopies;
        }

        Sent firstThatMayHaveRun() {
            for (Sent s : sent) {
                if (s.mayHaveRun) {
                    return s;
                }
            }
            return null;
        }
    }

    RuleOracle(Gateway gateway, SimulatedFleet fabric) {
        this.gateway = gateway;
        this.agenda = fabric.agenda();
        this.registry = fabric.registry();
        this.tally = fabric.tally();
    }

    void started() {
        listed.clear();
        closedAt.clear();
    }

    void died() {
        cases.clear();
    }

    void broken(String rule, String what) {
        tally.broken(
                rule, "balancer " + gateway.number + " at " + agenda.now() / 1e6 + " s: " + what);
    }

    void told(EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        long now = agenda.now();
        if (kind == EndpointListUpdateType.FULL || kind == EndpointListUpdateType.RESTORED) {
            Map<String, EndpointDescriptor> whole = new HashMap<>();
            entries.forEach(e -> whole.put(e.id(), e));
            listed.keySet().stream()
                    .filter(id -> !whole.containsKey(id))
                    .forEach(id -> closedAt.putIfAbsent(id, now));
        }
        for (EndpointDescriptor e : entries) {
            listed.put(e.id(), e);
            if (e.state() == EndpointState.READY) {
                closedAt.remove(e.id());
            } else {
                closedAt.putIfAbsent(e.id(), now);
            }
        }
    }

    /** Whether this balancer has been told when the server's present process started. */
    boolean knowsStart(String id, long launchedAt) {
        EndpointDescriptor u = listed.get(id);
        return u != null && u.launchedAtMicros() == launchedAt;
    }

    void took(Try t) {
        cases.put(
                t,
                new Case(
                        gateway.settings().requestClasses().get(t.call.classIndex),
                        gateway.settings().limits().isHedgingAllowed()));
    }

    /** Whether the send may go out at all; a request that has ended sends nothing any more. */
    boolean sends(Try t, Attempt a) {
        Case c = cases.get(t);
        if (t.ended) {
            broken("1", "sent after the end of " + t.id);
            return false;
        }
        if (!listed.containsKey(a.upstream)) {
            broken("1", "sent to " + a.upstream + ", which no list has named");
            return false;
        }
        if (!c.secondCopies && c.sent.stream().anyMatch(s -> s.out)) {
            broken("2", "two attempts at once of " + t.id);
        }
        Sent first = c.firstThatMayHaveRun();
        if (first != null && c.cls.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            broken("2", "sent an unsafe request again: " + t.id);
        }
        if (first != null
                && c.cls.idempotency() == Idempotency.KEYED
                && !coversRepeat(c.cls, first.attempt, a)) {
            broken("2", "repeated outside its group or window: " + t.id);
        }
        drained(a.upstream);
        c.sent.add(new Sent(a));
        return true;
    }

    private static boolean coversRepeat(RequestClass cls, Attempt first, Attempt next) {
        boolean near =
                cls.idempotencyScope() == IdempotencyScope.ALL
                        || cls.idempotencyScope() == IdempotencyScope.ZONE
                                && first.server.machine.zone() == next.server.machine.zone()
                        || cls.idempotencyScope() == IdempotencyScope.CELL
                                && first.server.machine.cell() == next.server.machine.cell();
        return near && next.sentAt - first.sentAt <= cls.idempotencyWindowMicros();
    }

    private void drained(String id) {
        long now = agenda.now();
        long grace = gateway.settings().ruleLimits().drainGraceMicros();
        Long closed = closedAt.get(id);
        Registry.Subscriber s = gateway.subscriber();
        if (closed == null && !s.subscribed) {
            long span = gateway.settings().ruleLimits().maxListAgeMicros() * (s.failed ? 4 : 1);
            if (now - s.askedAt > span) {
                Long known = registry.closedBefore(id, now - span);
                closed = known == null ? null : Long.valueOf(known + span);
            }
        }
        if (closed != null && now - closed > grace) {
            broken("3", "sent to " + id + ", which drains or is gone, after the cutoff");
        }
    }

    void ended(Attempt a, AttemptOutcome outcome) {
        Case c = cases.get(a.of);
        if (c == null) {
            return;
        }
        for (Sent s : c.sent) {
            if (s.attempt == a) {
                s.out = false;
                s.mayHaveRun = !outcome.provesNoExecution();
            }
        }
    }

    /** False if it is over already; such an answer goes nowhere. */
    boolean refuses(Try t) {
        Case c = cases.get(t);
        if (t.ended || c == null) {
            return false;
        }
        boolean harmless =
                c.cls.idempotency() == Idempotency.IDEMPOTENT
                        || c.cls.idempotency() == Idempotency.KEYED
                                && c.cls.idempotencyScope() == IdempotencyScope.ALL;
        if (!harmless && c.firstThatMayHaveRun() != null) {
            broken("2", "told the client that a repeat is harmless: " + t.id);
        }
        return inTime(t);
    }

    boolean fails(Try t) {
        return !t.ended && cases.containsKey(t) && inTime(t);
    }

    private boolean inTime(Try t) {
        if (agenda.now() > t.deadline + gateway.settings().ruleLimits().finalResponseSlackMicros()
                && !gateway.wasStalled()) {
            broken("1", "answered too late: " + t.id);
        }
        return true;
    }

    void forget(Try t) {
        cases.remove(t);
    }
}
