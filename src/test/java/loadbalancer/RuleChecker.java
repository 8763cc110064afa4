package loadbalancer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The four rules, judged from outside on what was told and what was done; it shares no code with
 * the module.
 */
final class RuleChecker {
    final List<String> breaches = new ArrayList<>();
    private LoadBalancerSettings settings;
    private final double warmWorkPerMicro;
    private final double chance;
    private final Map<String, EndpointDescriptor> listed = new HashMap<>();
    private final Map<String, Long> closedAt = new HashMap<>();
    private final Map<String, Case> cases = new HashMap<>();
    private final Map<String, Deque<long[]>> coldSends = new HashMap<>();

    private record Sent(long at, EndpointDescriptor upstream) {}

    private static final class Case {
        RequestDescriptor request;
        RequestClass cls;
        LoadBalancerSettings settings;
        long deadline;
        boolean over;
        final List<Sent> sent = new ArrayList<>();
        final List<Boolean> out = new ArrayList<>();
        final List<Boolean> ran = new ArrayList<>();
    }

    /** {@code warmWorkPerMicro}: the most that a warm upstream does in this test. */
    RuleChecker(LoadBalancerSettings settings, double warmWorkPerMicro) {
        this(settings, warmWorkPerMicro, 0);
    }

    /** {@code chance}: the work beyond a cold upstream's budget that is put down to chance. */
    RuleChecker(LoadBalancerSettings settings, double warmWorkPerMicro, double chance) {
        this.settings = settings;
        this.warmWorkPerMicro = warmWorkPerMicro;
        this.chance = chance;
    }

    /** Other settings, for requests to come; those that are open keep what they came under. */
    void settings(LoadBalancerSettings next) {
        settings = next;
        coldSends.clear(); // what was sent under other figures is not held against these
    }

    void told(long now, EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        if (kind == EndpointListUpdateType.FULL || kind == EndpointListUpdateType.RESTORED) {
            for (String id : listed.keySet()) {
                if (entries.stream().noneMatch(e -> e.id().equals(id))) {
                    closedAt.putIfAbsent(id, now);
                }
            }
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

    void arrived(long now, RequestDescriptor r) {
        Case c = new Case();
        c.request = r;
        c.cls = settings.requestClasses().get(r.classIndex());
        c.settings = settings;
        c.deadline = now + r.timeLeftMicros();
        cases.put(r.id(), c);
    }

    /** Its last byte has come only now, and its time counts from here. */
    void received(long now, String id) {
        cases.get(id).deadline = now + cases.get(id).request.timeLeftMicros();
    }

    /** When its client gives up. */
    long deadline(String id) {
        return cases.get(id).deadline;
    }

    /** Whether nothing is owed for it any more. */
    boolean over(String id) {
        return cases.get(id).over;
    }

    /** An answer has begun, and from here on has no deadline. */
    void opened(String id) {
        cases.get(id).deadline = Long.MAX_VALUE / 2;
    }

    void sent(long now, String id, String upstream) {
        Case c = cases.get(id);
        EndpointDescriptor u = listed.get(upstream);
        if (c.over) {
            breaches.add("1: sent after the end " + id);
        }
        if (!c.settings.limits().isHedgingAllowed() && c.out.contains(true)) {
            breaches.add("2: two attempts at once " + id);
        }
        int first = c.ran.indexOf(true);
        if (first >= 0 && c.cls.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            breaches.add("2: unsafe request sent again " + id);
        }
        if (first >= 0 && c.cls.idempotency() == Idempotency.KEYED) {
            Sent s = c.sent.get(first);
            boolean near =
                    c.cls.idempotencyScope() == IdempotencyScope.ALL
                            || c.cls.idempotencyScope() == IdempotencyScope.ZONE
                                    && s.upstream.zoneIndex() == u.zoneIndex()
                            || c.cls.idempotencyScope() == IdempotencyScope.CELL
                                    && s.upstream.cellIndex() == u.cellIndex();
            if (!near || now - s.at > c.cls.idempotencyWindowMicros()) {
                breaches.add("2: keyed request sent outside its group or time " + id);
            }
        }
        Long closed = closedAt.get(upstream);
        if (closed != null && now - closed > settings.ruleLimits().drainGraceMicros()) {
            breaches.add("3: sent to a drained upstream " + upstream);
        }
        if (c.sent.size() >= c.settings.limits().maxAttempts()) {
            breaches.add("sent more often than allowed " + id);
        }
        cold(now, u, c.request.expectedWorkMicros());
        c.sent.add(new Sent(now, u));
        c.out.add(true);
        c.ran.add(true);
    }

    private void cold(long now, EndpointDescriptor u, long work) {
        long age = now - u.launchedAtMicros();
        if (u.launchedAtMicros() <= 0 || age >= settings.ruleLimits().slowStartMicros()) {
            return;
        }
        Deque<long[]> window =
                coldSends.computeIfAbsent(
                        u.id() + "@" + u.launchedAtMicros(), k -> new ArrayDeque<>());
        window.add(new long[] {now, work});
        while (window.peek()[0] < now - settings.ruleLimits().overloadWindowMicros()) {
            window.poll();
        }
        double start = settings.ruleLimits().initialCapacityRatio();
        double share = start + (1 - start) * age / settings.ruleLimits().slowStartMicros();
        double budget =
                settings.ruleLimits().overloadCapacityMultiple()
                        * share
                        * warmWorkPerMicro
                        * settings.ruleLimits().overloadWindowMicros();
        if (window.stream().mapToLong(w -> w[1]).sum() > budget + chance) {
            breaches.add("4: cold upstream pushed over " + u.id());
        }
    }

    void ended(AttemptResult end) {
        Case c = cases.get(end.requestId());
        c.out.set(end.attemptIndex(), false);
        c.ran.set(end.attemptIndex(), !end.outcome().isProofOfNoExecution());
        if (end.isRequestConcluded()) {
            c.over = true;
        }
    }

    void refused(long now, String id) {
        Case c = cases.get(id);
        boolean mayHaveRun = c.ran.contains(true);
        if (mayHaveRun
                && (c.cls.idempotency() == Idempotency.NOT_IDEMPOTENT
                        || c.cls.idempotency() == Idempotency.KEYED
                                && c.cls.idempotencyScope() != IdempotencyScope.ALL)) {
            breaches.add("2: refused though it may have run " + id);
        }
        answered(now, id);
    }

    void failed(long now, String id) {
        answered(now, id);
    }

    private void answered(long now, String id) {
        Case c = cases.get(id);
        if (c.over) {
            breaches.add("1: answered twice " + id);
        }
        c.over = true;
        late(now, id, c);
    }

    void left(String id) {
        cases.get(id).over = true;
    }

    void finish(long now) {
        cases.forEach(
                (id, c) -> {
                    if (!c.over) {
                        late(now, id, c);
                    }
                });
    }

    private void late(long now, String id, Case c) {
        if (now > c.deadline + c.settings.ruleLimits().finalResponseSlackMicros()) {
            breaches.add("1: no answer in time " + id);
        }
    }
}
