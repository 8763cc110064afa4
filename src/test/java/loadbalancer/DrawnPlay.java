package loadbalancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One drawn history through the module and the rules: requests, outcomes of all kinds, lists that
 * change, clients that leave, timers that are lost, other settings in between. As the wire has it,
 * everything happens at whole ticks, and an attempt that is out at its request's deadline times out
 * there.
 */
final class DrawnPlay extends Host {
    /** One thing that happens, some ticks after the one before; any numbers mean something. */
    record Step(int what, int x) {}

    /** All that chance has no part in. */
    record Case(
            List<LoadBalancerSettings> settings,
            int upstreams,
            boolean hints,
            boolean losesTimers,
            long seed,
            List<Step> steps) {}

    private static final long NEVER = Long.MAX_VALUE / 2;
    private static final double WARM =
            8 * MILLI; // work of a warm one in a tick: more than is asked here
    private static final long MOST_WORK = 30 * MILLI;
    private static final long LONGEST = 20 * SECOND; // of all deadlines that are drawn
    private static final double[] READINGS = {Double.NaN, -1, 0, 0.4, 0.96, 1, 3, 1e9};

    private record Out(
            String id,
            int attempt,
            String upstream,
            long sentAt,
            long endsAt,
            AttemptOutcome outcome) {}

    private record Due(long at, long n, String token) {}

    private final Case drawn;
    private final SplittableRandom random;
    private final PriorityQueue<Due> timers =
            new PriorityQueue<>(
                    (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.n, b.n));
    private final List<Out> outs = new ArrayList<>();
    private final Map<String, Integer> tries = new HashMap<>();
    private final Map<String, LoadBalancerSettings> under = new LinkedHashMap<>();
    private final Map<String, Long> owed = new LinkedHashMap<>();
    private final Set<String> arriving = new HashSet<>();
    private final Set<String> streaming = new HashSet<>();
    private final Map<Integer, EndpointDescriptor> slots = new LinkedHashMap<>();
    private final Set<String> named = new HashSet<>();
    private final long tick;
    private LoadBalancerSettings settings;
    private LoadBalancerSnapshot memory = LoadBalancerSnapshot.EMPTY;
    private long count;

    /** How many attempts there were. */
    int sent;

    DrawnPlay(Case drawn) {
        this.drawn = drawn;
        this.random = new SplittableRandom(drawn.seed);
        this.settings = drawn.settings.get(0);
        this.tick = Math.max(settings.tickMicros(), MILLI);
        boolean cold = drawn.settings.stream().allMatch(DrawnSettings::hasColdBudget);
        this.checker =
                new RuleChecker(settings, WARM / tick, cold ? 4 * MOST_WORK : Double.MAX_VALUE);
        this.balancer = new ReweightingLoadBalancer(settings, drawn.seed, this);
    }

    /** Plays it to the end; what broke. */
    List<String> breaches() {
        balancer.start(now);
        List<EndpointDescriptor> known = new ArrayList<>();
        for (int i = 0; i < drawn.upstreams; i++) {
            EndpointDescriptor u = fresh(i, 0, 0);
            slots.put(i, u);
            known.add(u);
        }
        told(EndpointListUpdateType.RESTORED, known);
        for (Step s : drawn.steps) {
            advance(tick * (s.x % 5));
            step(s.what, s.x / 5);
        }
        List.copyOf(arriving).forEach(this::received);
        long end = now + LONGEST + SECOND;
        while (!(owed.isEmpty() && outs.isEmpty()) && now < end) {
            advance(Math.max(tick, SECOND / 4));
        }
        checker.finish(now);
        return checker.breaches;
    }

    private EndpointDescriptor fresh(int slot, int generation, long launchedAt) {
        double rating = slot % 5 == 4 ? 0 : 0.5 + slot % 3;
        return new EndpointDescriptor(
                "u" + slot + (generation > 0 ? "g" + generation : ""),
                slot % settings.zoneCount(),
                0,
                slot / 3,
                EndpointState.READY,
                rating,
                launchedAt);
    }

    // ---- What happens
    // --------------------------------------------------------------------------------

    private void step(int what, int x) {
        if (what < 45) {
            request(x, what % 9 == 0);
        } else if (what < 55) {
            endSoon(x);
        } else if (what < 63) {
            change(x);
        } else if (what < 67) {
            advance(tick * x % (2 * SECOND));
        } else if (what < 72) {
            leave(x);
        } else if (what < 77) {
            open(x);
        } else if (what < 82) {
            arriving.stream().findFirst().ifPresent(this::received);
        } else if (what < 88) {
            probesEnd();
        } else if (what < 90 && drawn.settings.size() > 1) {
            replace(
                    DrawnSettings.at(
                            settings.tickMicros(), drawn.settings.get(x % drawn.settings.size())));
        } else if (what < 92 && drawn.losesTimers) {
            timers.poll();
        } else {
            odd(x);
        }
    }

    private void request(int x, boolean slowBody) {
        if (settings.limits().maxOpenRequests() > 0
                && owed.size() >= settings.limits().maxOpenRequests()) {
            return; // such a one is rejected before the module hears of it
        }
        String id = "r" + count++;
        int cls = x % settings.requestClasses().size();
        long work = MILLI + random.nextLong(MOST_WORK);
        long left =
                settings.requestClasses().get(cls).clientTimeoutMicros() * random.nextInt(11) / 10;
        String key = x % 3 == 0 ? null : "k" + x % 7;
        RequestDescriptor r =
                new RequestDescriptor(id, cls, x % 4, key, work, left, x % 2 == 0, x % 5 == 0);
        checker.arrived(now, r);
        under.put(id, settings);
        owed.put(id, slowBody ? NEVER : now + left);
        RequestDescriptor seen =
                drawn.hints
                        ? r
                        : new RequestDescriptor(
                                id, cls, r.tenantIndex(), key, 0, left, r.isWrite(), r.isRetry());
        if (slowBody) {
            arriving.add(id);
            checker.opened(id);
            balancer.requestHeadReceived(now, seen);
        } else {
            balancer.requestReceived(now, seen);
        }
    }

    private void received(String id) {
        arriving.remove(id);
        if (!checker.over(id) && !streaming.contains(id)) {
            checker.received(now, id);
            owed.put(id, checker.deadline(id));
            balancer.requestBodyReceived(now, id);
        }
    }

    /** An attempt ends now, whatever it was to do. */
    private void endSoon(int x) {
        if (!outs.isEmpty()) {
            Out o = outs.get(x % outs.size());
            end(
                    o,
                    streaming.contains(o.id)
                            ? AttemptOutcome.SUCCESS
                            : AttemptOutcome.values()[x / 7 % 8]);
        }
    }

    private void leave(int x) {
        if (!owed.isEmpty()) {
            String id = List.copyOf(owed.keySet()).get(x % owed.size());
            gone(id);
            balancer.clientDisconnected(now, id); // told twice, it changes nothing
        }
    }

    private void gone(String id) {
        checker.left(id);
        owed.remove(id);
        balancer.clientDisconnected(now, id);
    }

    /** An answer begins; what else is out of this request is called off. */
    private void open(int x) {
        if (outs.isEmpty()) {
            return;
        }
        Out o = outs.get(x % outs.size());
        if (checker.over(o.id) || !streaming.add(o.id)) {
            return;
        }
        checker.opened(o.id);
        owed.put(o.id, NEVER);
        outs.set(
                outs.indexOf(o),
                new Out(
                        o.id,
                        o.attempt,
                        o.upstream,
                        o.sentAt,
                        now + tick * (x % 50),
                        x % 4 == 0 ? AttemptOutcome.CONNECTION_RESET : AttemptOutcome.SUCCESS));
        balancer.responseStarted(now, o.id, o.attempt);
        for (Out other : List.copyOf(outs)) {
            if (other.id.equals(o.id) && other.attempt != o.attempt) {
                end(other, AttemptOutcome.CANCELLED);
            }
        }
    }

    private void probesEnd() {
        List<String> asked = List.copyOf(probes);
        probes.clear();
        for (String upstream : asked) {
            AttemptOutcome o =
                    random.nextInt(4) > 0
                            ? AttemptOutcome.SUCCESS
                            : AttemptOutcome.values()[random.nextInt(8)];
            balancer.probeCompleted(
                    now,
                    upstream,
                    o,
                    o == AttemptOutcome.SUCCESS && random.nextInt(5) > 0 ? report() : null);
        }
    }

    private void replace(LoadBalancerSettings next) {
        settings = next;
        checker.settings(next);
        balancer.updateSettings(now, next);
    }

    /** What is legal but out of place, or late. */
    private void odd(int x) {
        switch (x % 10) {
            case 0 ->
                    balancer.attemptEnded(
                            now,
                            new AttemptResult(
                                    "r" + x, 9, "u0", AttemptOutcome.SUCCESS, 1, true, report()));
            case 1 -> balancer.responseStarted(now, "nobody", 0);
            case 2 -> balancer.requestBodyReceived(now, "r" + count);
            case 3 ->
                    balancer.timerExpired(
                            now, List.of("sweep", "due", "ask", "", "other").get(x / 10 % 5));
            case 4 -> balancer.probeCompleted(now, "nobody", AttemptOutcome.SUCCESS, report());
            case 5 -> balancer.setMaxPendingRequests(x / 10 % 4 == 0 ? x / 40 % 5 : 10_000);
            case 6 -> balancer.siblingProcessChanged(now, x / 10 % 2 == 0);
            case 7 -> balancer.restoreState(now, x * MILLI, x * SECOND, memory);
            case 8 -> memory = balancer.exportState(now, x / 10 % 3, x / 30 % 30);
            default -> {
                byte[] body = new byte[x / 10 % 9];
                new java.util.Random(x).nextBytes(body);
                balancer.peerMessageReceived(
                        now, x % 210 - 5, told.isEmpty() || x % 3 == 0 ? body : told.get(0));
                balancer.unavailableEndpointCount(now);
            }
        }
    }

    // ---- The list
    // ------------------------------------------------------------------------------------

    private void told(EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        entries.forEach(e -> named.add(e.id()));
        checker.told(now, kind, entries);
        balancer.updateEndpoints(now, kind, entries);
    }

    private void change(int x) {
        if (drawn.upstreams == 0 || x % 9 == 0) {
            balancer.updateEndpoints(now, EndpointListUpdateType.UNAVAILABLE, List.of());
            return;
        }
        int slot = x / 9 % drawn.upstreams;
        EndpointDescriptor u = slots.get(slot);
        switch (x % 9) {
            case 1, 2 -> becomes(u, EndpointState.DRAINING);
            case 3 -> becomes(u, EndpointState.REMOVED);
            case 4 -> becomes(u, EndpointState.READY);
            case 5 -> restart(slot, u, false);
            case 6 -> {
                told(
                        EndpointListUpdateType.DELTA,
                        List.of(
                                with(u, EndpointState.REMOVED, u.launchedAtMicros()),
                                slots.merge(
                                        slot,
                                        fresh(slot, (int) count % 1_000 + 1, now),
                                        (a, b) -> b)));
            }
            case 7 -> slots.forEach((s, each) -> restart(s, each, x / 9 % 2 == 0));
            default -> {
                List<EndpointDescriptor> some = new ArrayList<>();
                slots.values().stream().filter(e -> random.nextInt(3) > 0).forEach(some::add);
                told(EndpointListUpdateType.FULL, some);
            }
        }
    }

    private void becomes(EndpointDescriptor u, EndpointState state) {
        told(EndpointListUpdateType.DELTA, List.of(with(u, state, u.launchedAtMicros())));
    }

    /** The same machine with a new process; all of them, or each second one. */
    private void restart(int slot, EndpointDescriptor u, boolean all) {
        if (all || slot % 2 == 0) {
            slots.put(slot, with(u, EndpointState.READY, now));
            told(EndpointListUpdateType.DELTA, List.of(slots.get(slot)));
        }
    }

    private static EndpointDescriptor with(
            EndpointDescriptor u, EndpointState state, long launchedAt) {
        return new EndpointDescriptor(
                u.id(),
                u.zoneIndex(),
                u.machineKindIndex(),
                u.cellIndex(),
                state,
                u.capacityWeight(),
                launchedAt);
    }

    // ---- Time
    // ----------------------------------------------------------------------------------------

    /** The first tick at or after that time. */
    private long tickOf(long time) {
        return (Math.min(time, NEVER) + tick - 1) / tick * tick;
    }

    @Override
    void advance(long by) {
        long until = now + by;
        while (true) {
            long next = timers.isEmpty() ? NEVER : timers.peek().at;
            for (Out o : outs) {
                next = Math.min(next, Math.min(o.endsAt, checker.deadline(o.id)));
            }
            if (drawn.losesTimers) {
                next = Math.min(next, owed.values().stream().mapToLong(d -> d).min().orElse(NEVER));
            }
            next = Math.max(now, tickOf(next));
            if (next > until) {
                now = Math.max(now, until / tick * tick);
                return;
            }
            now = next;
            attemptsEnd();
            timers();
        }
    }

    private void attemptsEnd() {
        for (Out o : List.copyOf(outs)) {
            if (checker.deadline(o.id) <= now && !streaming.contains(o.id)) {
                end(o, AttemptOutcome.TIMEOUT);
            } else if (o.endsAt <= now) {
                end(o, o.outcome);
            }
        }
        // With a timer lost, the host answers in the module's place, as the one on sockets does.
        if (drawn.losesTimers) {
            List.copyOf(owed.keySet()).stream()
                    .filter(id -> owed.get(id) <= now)
                    .forEach(this::gone);
        }
    }

    private void timers() {
        for (int i = timers.size(); i > 0 && !timers.isEmpty() && timers.peek().at <= now; i--) {
            balancer.timerExpired(now, timers.poll().token);
        }
    }

    private void end(Out o, AttemptOutcome outcome) {
        if (!outs.remove(o)) {
            return;
        }
        boolean streamed = streaming.contains(o.id) && outcome != AttemptOutcome.CANCELLED;
        boolean over = checker.over(o.id) || outcome == AttemptOutcome.SUCCESS || streamed;
        if (over) {
            owed.remove(o.id);
        }
        LoadReport load =
                settings.loadReportSource() == LoadReportSource.RESPONSES ? report() : null;
        AttemptResult end =
                new AttemptResult(o.id, o.attempt, o.upstream, outcome, now - o.sentAt, over, load);
        checker.ended(end);
        balancer.attemptEnded(now, end);
    }

    private LoadReport report() {
        double[] r = new double[6];
        for (int i = 0; i < r.length; i++) {
            r[i] = READINGS[random.nextInt(READINGS.length)];
        }
        return new LoadReport(r[0], r[1], r[2], r[3], r[4], r[5]);
    }

    // ---- What the module does
    // ------------------------------------------------------------------------

    private void breach(boolean broken, String what) {
        if (broken) {
            checker.breaches.add(what);
        }
    }

    @Override
    public void sendAttempt(String id, String upstream, long timeout) {
        sent++;
        breach(timeout < 0, "a time-out below 0 " + id);
        if (!under.containsKey(id) || !named.contains(upstream)) {
            breach(true, "unknown request or upstream " + id + " " + upstream);
            return;
        }
        breach(streaming.contains(id), "sent after its answer had begun " + id);
        checker.sent(now, id, upstream);
        AttemptOutcome o =
                random.nextInt(10) < 7
                        ? AttemptOutcome.SUCCESS
                        : AttemptOutcome.values()[random.nextInt(8)];
        double u = random.nextDouble();
        long endsAt = o == AttemptOutcome.TIMEOUT ? NEVER : now + (long) (u * u * u * SECOND);
        outs.add(new Out(id, tries.merge(id, 1, Integer::sum) - 1, upstream, now, endsAt, o));
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        breach(!under.containsKey(id), "cancelled a stranger " + id);
        breach(
                !under.get(id).limits().isCancellationAllowed(),
                "cancelled though it may not " + id);
        for (Out o : List.copyOf(outs)) {
            if (o.id.equals(id) && o.attempt == attempt) {
                // Its answer may be under way already.
                AttemptOutcome how = random.nextInt(3) == 0 ? o.outcome : AttemptOutcome.CANCELLED;
                outs.set(
                        outs.indexOf(o),
                        new Out(id, attempt, o.upstream, o.sentAt, now + tick, how));
            }
        }
    }

    @Override
    public void reject(String id, long retryAfter) {
        answered(id);
        long most =
                under.get(id).limits().isRetryAfterAllowed()
                        ? under.get(id).limits().maxRetryAfterMicros()
                        : 0;
        breach(retryAfter < 0 || retryAfter > most, "advice beyond what clients heed " + id);
        checker.refused(now, id);
    }

    @Override
    public void fail(String id) {
        answered(id);
        checker.failed(now, id);
    }

    private void answered(String id) {
        owed.remove(id);
        breach(streaming.contains(id), "answered after its answer had begun " + id);
    }

    @Override
    public void scheduleTimer(String token, long delay) {
        breach(delay < 0 || delay > 71 * 60 * SECOND, "a timer in " + delay);
        timers.add(new Due(now + Math.max(tick, tickOf(delay)), count++, token));
    }

    @Override
    public void probeEndpoint(String upstream) {
        breach(!settings.limits().isProbingAllowed(), "probed though it may not");
        breach(!named.contains(upstream), "probed a stranger");
        probes.add(upstream);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        breach(!settings.limits().isPeerMessagingAllowed(), "told though it may not");
        breach(
                peer == settings.balancerIndex() || peer >= settings.balancerCount(),
                "told nobody " + peer);
        if (told.size() < 3) {
            told.add(body);
        }
    }
}
