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
import loadbalancer.LoadBalancer.AttemptEnd;
import loadbalancer.LoadBalancer.ListKind;
import loadbalancer.LoadBalancer.LoadReport;
import loadbalancer.LoadBalancer.Memory;
import loadbalancer.LoadBalancer.Outcome;
import loadbalancer.LoadBalancer.Request;
import loadbalancer.LoadBalancer.Settings;
import loadbalancer.LoadBalancer.State;
import loadbalancer.LoadBalancer.Upstream;

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
            List<Settings> settings,
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
            String id, int attempt, String upstream, long sentAt, long endsAt, Outcome outcome) {}

    private record Due(long at, long n, String token) {}

    private final Case drawn;
    private final SplittableRandom random;
    private final PriorityQueue<Due> timers =
            new PriorityQueue<>(
                    (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.n, b.n));
    private final List<Out> outs = new ArrayList<>();
    private final Map<String, Integer> tries = new HashMap<>();
    private final Map<String, Settings> under = new LinkedHashMap<>();
    private final Map<String, Long> owed = new LinkedHashMap<>();
    private final Set<String> arriving = new HashSet<>();
    private final Set<String> streaming = new HashSet<>();
    private final Map<Integer, Upstream> slots = new LinkedHashMap<>();
    private final Set<String> named = new HashSet<>();
    private final long tick;
    private Settings settings;
    private Memory memory = Memory.NONE;
    private long count;

    /** How many attempts there were. */
    int sent;

    DrawnPlay(Case drawn) {
        this.drawn = drawn;
        this.random = new SplittableRandom(drawn.seed);
        this.settings = drawn.settings.get(0);
        this.tick = Math.max(settings.tick(), MILLI);
        boolean cold = drawn.settings.stream().allMatch(DrawnSettings::hasColdBudget);
        this.checker =
                new RuleChecker(settings, WARM / tick, cold ? 4 * MOST_WORK : Double.MAX_VALUE);
        this.balancer = new ReweightingLoadBalancer(settings, drawn.seed, this);
    }

    /** Plays it to the end; what broke. */
    List<String> breaches() {
        balancer.start(now);
        List<Upstream> known = new ArrayList<>();
        for (int i = 0; i < drawn.upstreams; i++) {
            Upstream u = fresh(i, 0, 0);
            slots.put(i, u);
            known.add(u);
        }
        told(ListKind.RESTORED, known);
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

    private Upstream fresh(int slot, int generation, long launchedAt) {
        double rating = slot % 5 == 4 ? 0 : 0.5 + slot % 3;
        return new Upstream(
                "u" + slot + (generation > 0 ? "g" + generation : ""),
                slot % settings.zones(),
                0,
                slot / 3,
                State.READY,
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
                            settings.tick(), drawn.settings.get(x % drawn.settings.size())));
        } else if (what < 92 && drawn.losesTimers) {
            timers.poll();
        } else {
            odd(x);
        }
    }

    private void request(int x, boolean slowBody) {
        if (settings.limits().maxOpen() > 0 && owed.size() >= settings.limits().maxOpen()) {
            return; // such a one is rejected before the module hears of it
        }
        String id = "r" + count++;
        int cls = x % settings.classes().size();
        long work = MILLI + random.nextLong(MOST_WORK);
        long left = settings.classes().get(cls).giveUp() * random.nextInt(11) / 10;
        String key = x % 3 == 0 ? null : "k" + x % 7;
        Request r = new Request(id, cls, x % 4, key, work, left, x % 2 == 0, x % 5 == 0);
        checker.arrived(now, r);
        under.put(id, settings);
        owed.put(id, slowBody ? NEVER : now + left);
        Request seen =
                drawn.hints
                        ? r
                        : new Request(id, cls, r.tenant(), key, 0, left, r.write(), r.retry());
        if (slowBody) {
            arriving.add(id);
            checker.opened(id);
            balancer.arriving(now, seen);
        } else {
            balancer.request(now, seen);
        }
    }

    private void received(String id) {
        arriving.remove(id);
        if (!checker.over(id) && !streaming.contains(id)) {
            checker.received(now, id);
            owed.put(id, checker.deadline(id));
            balancer.received(now, id);
        }
    }

    /** An attempt ends now, whatever it was to do. */
    private void endSoon(int x) {
        if (!outs.isEmpty()) {
            Out o = outs.get(x % outs.size());
            end(o, streaming.contains(o.id) ? Outcome.OK : Outcome.values()[x / 7 % 8]);
        }
    }

    private void leave(int x) {
        if (!owed.isEmpty()) {
            String id = List.copyOf(owed.keySet()).get(x % owed.size());
            gone(id);
            balancer.clientGone(now, id); // told twice, it changes nothing
        }
    }

    private void gone(String id) {
        checker.left(id);
        owed.remove(id);
        balancer.clientGone(now, id);
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
                        x % 4 == 0 ? Outcome.RESET : Outcome.OK));
        balancer.opened(now, o.id, o.attempt);
        for (Out other : List.copyOf(outs)) {
            if (other.id.equals(o.id) && other.attempt != o.attempt) {
                end(other, Outcome.CANCELLED);
            }
        }
    }

    private void probesEnd() {
        List<String> asked = List.copyOf(probes);
        probes.clear();
        for (String upstream : asked) {
            Outcome o = random.nextInt(4) > 0 ? Outcome.OK : Outcome.values()[random.nextInt(8)];
            balancer.probed(
                    now, upstream, o, o == Outcome.OK && random.nextInt(5) > 0 ? report() : null);
        }
    }

    private void replace(Settings next) {
        settings = next;
        checker.settings(next);
        balancer.settings(now, next);
    }

    /** What is legal but out of place, or late. */
    private void odd(int x) {
        switch (x % 10) {
            case 0 ->
                    balancer.outcome(
                            now, new AttemptEnd("r" + x, 9, "u0", Outcome.OK, 1, true, report()));
            case 1 -> balancer.opened(now, "nobody", 0);
            case 2 -> balancer.received(now, "r" + count);
            case 3 ->
                    balancer.timer(
                            now, List.of("sweep", "due", "ask", "", "other").get(x / 10 % 5));
            case 4 -> balancer.probed(now, "nobody", Outcome.OK, report());
            case 5 -> balancer.mayHold(x / 10 % 4 == 0 ? x / 40 % 5 : 10_000);
            case 6 -> balancer.beside(now, x / 10 % 2 == 0);
            case 7 -> balancer.recall(now, x * MILLI, x * SECOND, memory);
            case 8 -> memory = balancer.memory(now, x / 10 % 3, x / 30 % 30);
            default -> {
                byte[] body = new byte[x / 10 % 9];
                new java.util.Random(x).nextBytes(body);
                balancer.peerMessage(
                        now, x % 210 - 5, told.isEmpty() || x % 3 == 0 ? body : told.get(0));
                balancer.skipped(now);
            }
        }
    }

    // ---- The list
    // ------------------------------------------------------------------------------------

    private void told(ListKind kind, List<Upstream> entries) {
        entries.forEach(e -> named.add(e.id()));
        checker.told(now, kind, entries);
        balancer.upstreams(now, kind, entries);
    }

    private void change(int x) {
        if (drawn.upstreams == 0 || x % 9 == 0) {
            balancer.upstreams(now, ListKind.UNAVAILABLE, List.of());
            return;
        }
        int slot = x / 9 % drawn.upstreams;
        Upstream u = slots.get(slot);
        switch (x % 9) {
            case 1, 2 -> becomes(u, State.DRAINING);
            case 3 -> becomes(u, State.GONE);
            case 4 -> becomes(u, State.READY);
            case 5 -> restart(slot, u, false);
            case 6 -> {
                told(
                        ListKind.CHANGES,
                        List.of(
                                with(u, State.GONE, u.launchedAt()),
                                slots.merge(
                                        slot,
                                        fresh(slot, (int) count % 1_000 + 1, now),
                                        (a, b) -> b)));
            }
            case 7 -> slots.forEach((s, each) -> restart(s, each, x / 9 % 2 == 0));
            default -> {
                List<Upstream> some = new ArrayList<>();
                slots.values().stream().filter(e -> random.nextInt(3) > 0).forEach(some::add);
                told(ListKind.COMPLETE, some);
            }
        }
    }

    private void becomes(Upstream u, State state) {
        told(ListKind.CHANGES, List.of(with(u, state, u.launchedAt())));
    }

    /** The same machine with a new process; all of them, or each second one. */
    private void restart(int slot, Upstream u, boolean all) {
        if (all || slot % 2 == 0) {
            slots.put(slot, with(u, State.READY, now));
            told(ListKind.CHANGES, List.of(slots.get(slot)));
        }
    }

    private static Upstream with(Upstream u, State state, long launchedAt) {
        return new Upstream(u.id(), u.zone(), u.kind(), u.cell(), state, u.rating(), launchedAt);
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
                end(o, Outcome.TIMEOUT);
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
            balancer.timer(now, timers.poll().token);
        }
    }

    private void end(Out o, Outcome outcome) {
        if (!outs.remove(o)) {
            return;
        }
        boolean streamed = streaming.contains(o.id) && outcome != Outcome.CANCELLED;
        boolean over = checker.over(o.id) || outcome == Outcome.OK || streamed;
        if (over) {
            owed.remove(o.id);
        }
        LoadReport load = settings.reports() == LoadBalancer.Reports.IN_ANSWERS ? report() : null;
        AttemptEnd end =
                new AttemptEnd(o.id, o.attempt, o.upstream, outcome, now - o.sentAt, over, load);
        checker.ended(end);
        balancer.outcome(now, end);
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
    public void send(String id, String upstream, long timeout) {
        sent++;
        breach(timeout < 0, "a time-out below 0 " + id);
        if (!under.containsKey(id) || !named.contains(upstream)) {
            breach(true, "unknown request or upstream " + id + " " + upstream);
            return;
        }
        breach(streaming.contains(id), "sent after its answer had begun " + id);
        checker.sent(now, id, upstream);
        Outcome o = random.nextInt(10) < 7 ? Outcome.OK : Outcome.values()[random.nextInt(8)];
        double u = random.nextDouble();
        long endsAt = o == Outcome.TIMEOUT ? NEVER : now + (long) (u * u * u * SECOND);
        outs.add(new Out(id, tries.merge(id, 1, Integer::sum) - 1, upstream, now, endsAt, o));
    }

    @Override
    public void cancel(String id, int attempt) {
        breach(!under.containsKey(id), "cancelled a stranger " + id);
        breach(!under.get(id).limits().cancel(), "cancelled though it may not " + id);
        for (Out o : List.copyOf(outs)) {
            if (o.id.equals(id) && o.attempt == attempt) {
                // Its answer may be under way already.
                Outcome how = random.nextInt(3) == 0 ? o.outcome : Outcome.CANCELLED;
                outs.set(
                        outs.indexOf(o),
                        new Out(id, attempt, o.upstream, o.sentAt, now + tick, how));
            }
        }
    }

    @Override
    public void refuse(String id, long retryAfter) {
        answered(id);
        long most =
                under.get(id).limits().retryAfter() ? under.get(id).limits().maxRetryAfter() : 0;
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
    public void timer(String token, long delay) {
        breach(delay < 0 || delay > 71 * 60 * SECOND, "a timer in " + delay);
        timers.add(new Due(now + Math.max(tick, tickOf(delay)), count++, token));
    }

    @Override
    public void probe(String upstream) {
        breach(!settings.limits().probes(), "probed though it may not");
        breach(!named.contains(upstream), "probed a stranger");
        probes.add(upstream);
    }

    @Override
    public void tell(int peer, byte[] body) {
        breach(!settings.limits().peers(), "told though it may not");
        breach(peer == settings.position() || peer >= settings.groupSize(), "told nobody " + peer);
        if (told.size() < 3) {
            told.add(body);
        }
    }
}
