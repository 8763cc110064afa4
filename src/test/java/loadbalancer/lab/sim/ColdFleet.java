package loadbalancer.lab.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.CapacityWeightKind;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.LoadReport;
import loadbalancer.LoadReportSource;
import loadbalancer.Prices;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;
import loadbalancer.ReweightingLoadBalancer;
import loadbalancer.RuleLimits;

/**
 * A fleet of real modules in virtual time before upstreams of which some start cold: what all
 * processes send to each of them in any window of the settings' fall time, beside the bound on it.
 * Unlike in {@link Simulation}, traffic is uneven between balancers, processes are told at times of
 * their own, and a successor may serve beside the process that it replaces.
 */
final class ColdFleet {
    private static final long SECOND = 1_000_000;
    private static final long START = 100 * SECOND;
    private static final long EVENT = START + 6 * SECOND; // by then the modules know their traffic
    private static final long WAY = 500; // one way over the network
    private static final long DOWN =
            SECOND / 3; // between the end of a process and its successor's start

    /**
     * What one seed draws.
     *
     * @param late the last process hears of a change so much later than the first
     * @param restarts of every second balancer: 0 none, 1 within two seconds, 2 within six
     * @param hot of 500 keys the first gets the root of this degree of 1/500 of the requests
     * @param burst for two seconds there is so many times the traffic
     * @param lost share of the warm upstreams that are away for some seconds, untold
     */
    record Plan(
            int balancers,
            int upstreams,
            int cores,
            double work,
            double load,
            double[] weights,
            RuleLimits rules,
            boolean half,
            long late,
            int restarts,
            boolean remembers,
            boolean beside,
            boolean peers,
            boolean probes,
            boolean hints,
            boolean keys,
            double hot,
            double burst,
            double lost,
            boolean byWork) {
        static Plan draw(int balancers, SplittableRandom r) {
            // In a third of the seeds the budget is small: little traffic, many upstreams, a short
            // time.
            boolean thin = r.nextInt(3) == 0;
            double each =
                    balancers < 10
                            ? r.nextDouble(thin ? 5 : 30, thin ? 30 : 150)
                            : 2 * Math.pow(thin ? 3 : 15, r.nextDouble());
            int ups =
                    balancers < 10
                            ? r.nextInt(5, 16)
                            : r.nextInt(thin ? balancers : balancers / 4, 2 * balancers);
            double load = r.nextBoolean() ? r.nextDouble(0.35, 1.1) : r.nextDouble(1.1, 1.8);
            double capacity = Math.min(60, Math.max(2, each * balancers / load / ups));
            int cores = r.nextInt(1, 5);
            double[] weights = new double[balancers];
            double many = r.nextDouble(2, 7);
            Arrays.setAll(weights, i -> r.nextInt(5) == 0 ? many : r.nextDouble(0.2, 1));
            int telling = r.nextInt(6);
            return new Plan(
                    balancers,
                    ups,
                    cores,
                    cores * 1e6 / capacity,
                    load,
                    weights,
                    new RuleLimits(
                            20_000,
                            10 * SECOND,
                            r.nextDouble(0.13, thin ? 0.2 : 0.6),
                            (long) r.nextDouble(4e6, 23e6),
                            2 * SECOND,
                            r.nextDouble(2.5, 3),
                            (long) r.nextDouble(1e6, thin ? 1.5e6 : 3e6)),
                    r.nextBoolean(),
                    r.nextBoolean() ? 0 : (long) r.nextDouble(0.5e6, 5e6),
                    r.nextInt(3),
                    r.nextBoolean(),
                    r.nextBoolean(),
                    telling == 0,
                    telling == 1,
                    r.nextBoolean(),
                    r.nextBoolean(),
                    r.nextDouble(1, 3.5),
                    r.nextInt(3) == 0 ? r.nextDouble(1.5, 4) : 1,
                    r.nextInt(3) == 0 ? r.nextDouble(0.2, 0.8) : 0,
                    r.nextBoolean());
        }

        /** Calls of mean work that one warm upstream can do in a second. */
        double capacity() {
            return cores * 1e6 / work;
        }
    }

    /**
     * What a run showed.
     *
     * @param sum the calls in the window that was worst for its bound, by those who had been told
     * @param all the same by all
     * @param falls windows beyond the bound of which two thirds came from the told
     * @param served share of the requests that were answered within their aim once some were cold
     * @param got calls that cold upstreams got, as a share of the budget
     * @param ramped share of its capacity that a cold upstream had on the mean of its cold time
     */
    record Result(
            Plan plan,
            int sum,
            double bound,
            int all,
            double allBound,
            int falls,
            double served,
            double got,
            double ramped) {}

    private final Plan plan;
    private final SplittableRandom random;
    private final EventQueue agenda = new EventQueue(START);
    private final List<Server> servers = new ArrayList<>();
    private final Place[] places;
    private final double[] upTo;
    private long requests;
    private long offered;
    private long inAim;
    private int worst;
    private double worstBound = 1;
    private int worstAll;
    private double worstAllBound = 1;
    private int falls;
    private double calls;
    private double allowed;
    private double shares;
    private long looks;

    private ColdFleet(int balancers, long seed) {
        random = new SplittableRandom(seed * 1_000 + balancers);
        plan = Plan.draw(balancers, random);
        for (int i = 0; i < plan.upstreams; i++) {
            servers.add(new Server(i));
        }
        places = new Place[balancers];
        upTo = plan.weights.clone();
        for (int i = 0; i < balancers; i++) {
            places[i] = new Place(i);
            upTo[i] += i > 0 ? upTo[i - 1] : 0;
        }
    }

    static Result play(int balancers, long seed) {
        return new ColdFleet(balancers, seed).run();
    }

    private Result run() {
        for (Place p : places) {
            agenda.in(random.nextLong(SECOND / 4), () -> p.now = p.start(null));
        }
        agenda.in(SECOND / 2, this::arrive);
        for (int i = 0; i < plan.upstreams; i++) {
            Server s = servers.get(i);
            if (plan.half ? i % 2 == 0 : i == 0) {
                agenda.at(EVENT + random.nextLong(SECOND / 2), () -> s.end(DOWN, s::start));
            } else if (random.nextDouble() < plan.lost) {
                long away = random.nextLong(SECOND, 4 * SECOND);
                agenda.at(
                        EVENT + random.nextLong(3 * SECOND), () -> s.end(away, () -> s.up = true));
            }
        }
        for (Place p : places) {
            if (plan.restarts > 0 && p.position % 2 == 0) {
                agenda.at(
                        EVENT + random.nextLong(-SECOND, plan.restarts == 1 ? SECOND : 5 * SECOND),
                        p::restart);
            }
        }
        long end = EVENT + Math.min(8 * SECOND, plan.rules.slowStartMicros());
        while (agenda.step(end)) {
            continue;
        }
        return new Result(
                plan,
                worst,
                worstBound,
                worstAll,
                worstAllBound,
                falls,
                offered == 0 ? 1 : inAim / (double) offered,
                allowed == 0 ? 0 : calls / allowed,
                looks == 0 ? 1 : shares / looks);
    }

    private void arrive() {
        double rate = plan.load * plan.capacity() * plan.upstreams / 1e6;
        long since = agenda.now() - EVENT;
        rate *= since > 2 * SECOND && since < 4 * SECOND ? plan.burst : 1;
        agenda.in((long) (-Math.log(1 - random.nextDouble()) / rate) + 1, this::arrive);
        double at = random.nextDouble() * upTo[upTo.length - 1];
        int i = Arrays.binarySearch(upTo, at);
        places[i < 0 ? -i - 1 : i].take();
    }

    // ---- Upstreams
    // -----------------------------------------------------------------------------------

    /** An upstream: so many cores behind one line, slower while it is cold. */
    private final class Server {
        final int number;
        final String id;
        final Deque<Call> line = new ArrayDeque<>();
        final List<Call> inWork = new ArrayList<>();
        final Deque<boolean[]> told = new ArrayDeque<>();
        final Deque<Long> sent = new ArrayDeque<>();
        int toldSum;
        long launchedAt;
        boolean up = true;
        double done;
        double busy;
        long busyAt = START;
        long reportAt = START;
        double utilisation;

        Server(int number) {
            this.number = number;
            this.id = "u" + number;
        }

        EndpointDescriptor entry() {
            return new EndpointDescriptor(
                    id, number % 2, 0, number % 4, EndpointState.READY, 1, launchedAt);
        }

        double settingsShare() {
            double age = agenda.now() - launchedAt;
            double from = plan.rules.initialCapacityRatio();
            return launchedAt == 0
                    ? 1
                    : from + (1 - from) * Math.min(1, age / plan.rules.slowStartMicros());
        }

        /** Some warm by what they have done, at the latest by the settings' time. */
        double share() {
            double from = plan.rules.initialCapacityRatio();
            double all = plan.cores * plan.rules.slowStartMicros() * (1 + from) / 4;
            return launchedAt == 0
                    ? 1
                    : !plan.byWork
                            ? settingsShare()
                            : Math.max(
                                    settingsShare(), Math.min(1, from + (1 - from) * done / all));
        }

        void end(long away, Runnable then) {
            up = false;
            List<Call> lost = new ArrayList<>(line);
            lost.addAll(inWork);
            account();
            line.clear();
            inWork.clear();
            lost.forEach(c -> c.end(AttemptOutcome.CONNECTION_RESET));
            agenda.in(away, then);
        }

        private void start() {
            up = true;
            done = 0;
            launchedAt = agenda.now();
            for (Place p : places) {
                long late = plan.late == 0 ? 0 : random.nextLong(plan.late);
                agenda.in(SECOND / 5 + late, () -> p.hear(this));
            }
            look();
        }

        private void look() {
            if (settingsShare() < 1) {
                shares += share();
                looks++;
                allowed +=
                        plan.rules.overloadCapacityMultiple()
                                * settingsShare()
                                * plan.capacity()
                                / 10;
                agenda.in(SECOND / 10, this::look);
            }
        }

        private void account() {
            busy += inWork.size() * (double) (agenda.now() - busyAt);
            busyAt = agenda.now();
            if (agenda.now() - reportAt >= 150_000) {
                utilisation = busy / plan.cores / (agenda.now() - reportAt);
                busy = 0;
                reportAt = agenda.now();
            }
        }

        void take(Call c) {
            if (!up) {
                agenda.in(WAY, () -> c.end(AttemptOutcome.CONNECT_FAILED));
                return;
            }
            if (launchedAt > 0 && agenda.now() - launchedAt < plan.rules.slowStartMicros()) {
                count(c.told);
            }
            if (line.size() >= 16 * plan.cores) {
                agenda.in(WAY, () -> c.end(AttemptOutcome.REJECTED));
                return;
            }
            account();
            line.add(c);
            work();
        }

        private void work() {
            while (inWork.size() < plan.cores && !line.isEmpty()) {
                Call c = line.poll();
                if (c.over) {
                    continue;
                }
                inWork.add(c);
                long process = launchedAt;
                agenda.in(
                        (long) (c.of.work / share()),
                        () -> {
                            if (launchedAt == process && inWork.contains(c)) {
                                account();
                                inWork.remove(c);
                                done += c.of.work;
                                agenda.in(WAY, () -> c.end(AttemptOutcome.SUCCESS));
                                work();
                            }
                        });
            }
        }

        /** Rule 4: the window that ends now. */
        private void count(boolean wasTold) {
            long now = agenda.now();
            sent.add(now);
            told.add(new boolean[] {wasTold});
            toldSum += wasTold ? 1 : 0;
            while (sent.peek() < now - plan.rules.overloadWindowMicros()) {
                sent.poll();
                toldSum -= told.poll()[0] ? 1 : 0;
            }
            calls++;
            double n =
                    plan.rules.overloadCapacityMultiple()
                            * settingsShare()
                            * plan.capacity()
                            * plan.rules.overloadWindowMicros()
                            / 1e6;
            double bound = n + 2 * Math.sqrt(n) + 2;
            if (toldSum / bound > worst / worstBound) {
                worst = toldSum;
                worstBound = bound;
            }
            if (sent.size() / bound > worstAll / worstAllBound) {
                worstAll = sent.size();
                worstAllBound = bound;
            }
            falls += sent.size() > bound && toldSum * 3 >= sent.size() * 2 ? 1 : 0;
        }

        LoadReport report() {
            return new LoadReport(
                    utilisation,
                    line.size() + inWork.size(),
                    Double.NaN,
                    Double.NaN,
                    Double.NaN,
                    Double.NaN);
        }
    }

    /** A request at one process. */
    private static final class Asked {
        final String id;
        final double work;
        final long aimAt;
        final long deadline;
        final boolean counts;
        final List<Call> calls = new ArrayList<>(1);
        boolean ended;

        Asked(String id, double work, long aimAt, long deadline, boolean counts) {
            this.id = id;
            this.work = work;
            this.aimAt = aimAt;
            this.deadline = deadline;
            this.counts = counts;
        }
    }

    /** One attempt. */
    private static final class Call {
        final Process from;
        final Asked of;
        final int number;
        final Server to;
        final long at;
        final boolean told;
        boolean over;

        Call(Process from, Asked of, int number, Server to, long at, boolean told) {
            this.from = from;
            this.of = of;
            this.number = number;
            this.to = to;
            this.at = at;
            this.told = told;
        }

        void end(AttemptOutcome outcome) {
            if (!over) {
                over = true;
                from.ended(this, outcome);
            }
        }
    }

    // ---- Balancers
    // -----------------------------------------------------------------------------------

    /** One balancer of the fleet, with the process that serves and at times a second one. */
    private final class Place {
        final int position;
        final long[] launched = new long[plan.upstreams];
        final LoadBalancerSettings settings;
        Process now;
        Process next;

        Place(int position) {
            this.position = position;
            this.settings = settings();
        }

        Process start(LoadBalancerSnapshot memory) {
            Process p = new Process(this);
            p.begin(memory);
            return p;
        }

        void hear(Server s) {
            launched[s.number] = s.launchedAt;
            for (Process p : new Process[] {now, next}) {
                if (p != null) {
                    p.balancer.updateEndpoints(
                            agenda.now(), EndpointListUpdateType.DELTA, List.of(s.entry()));
                }
            }
        }

        void restart() {
            LoadBalancerSnapshot memory =
                    plan.remembers
                            ? now.balancer.exportState(agenda.now(), 0, plan.upstreams)
                            : null;
            if (!plan.beside) {
                now.alive = false;
                now = null;
                agenda.in(SECOND / 2, () -> now = start(memory));
                return;
            }
            next = start(memory);
            next.balancer.siblingProcessChanged(agenda.now(), true);
            now.balancer.siblingProcessChanged(agenda.now(), true);
            agenda.in(
                    2 * SECOND,
                    () -> {
                        now = next;
                        next = null;
                        now.balancer.siblingProcessChanged(agenda.now(), false);
                    });
        }

        void take() {
            Process p = next != null && random.nextBoolean() ? next : now;
            if (agenda.now() >= EVENT) {
                offered++;
            }
            if (p != null) {
                p.take();
            }
        }

        private LoadBalancerSettings settings() {
            List<RequestClass> classes =
                    List.of(
                            new RequestClass(
                                    "free",
                                    aim(),
                                    0,
                                    3 * aim(),
                                    1,
                                    0.2,
                                    Idempotency.IDEMPOTENT,
                                    IdempotencyScope.ALL,
                                    0,
                                    false),
                            new RequestClass(
                                    "keyed",
                                    aim(),
                                    0,
                                    3 * aim(),
                                    2,
                                    0.2,
                                    Idempotency.KEYED,
                                    IdempotencyScope.ALL,
                                    SECOND,
                                    false));
            return new LoadBalancerSettings(
                    position % 2,
                    2,
                    position,
                    plan.balancers,
                    classes,
                    List.of(),
                    0.2,
                    false,
                    new LoadBalancerLimits(
                            3,
                            false,
                            plan.probes,
                            true,
                            plan.peers,
                            20_000,
                            true,
                            2 * SECOND,
                            SECOND / 4,
                            30 * SECOND,
                            1),
                    plan.rules,
                    new Prices(0.01, 0.035, 0, 0, 0.03, 0.02),
                    plan.probes ? LoadReportSource.PROBES : LoadReportSource.RESPONSES,
                    CapacityWeightKind.NONE,
                    false,
                    plan.keys,
                    5_000);
        }

        private long aim() {
            return (long) Math.max(400_000, 8 * plan.work);
        }
    }

    /** One process of a balancer: the module, and what it asks of the world. */
    private final class Process implements LoadBalancerActions {
        final Place place;
        final LoadBalancer balancer;
        final Map<String, Asked> open = new HashMap<>();
        boolean alive = true;

        Process(Place place) {
            this.place = place;
            this.balancer = new ReweightingLoadBalancer(place.settings, random.nextLong(), this);
        }

        void begin(LoadBalancerSnapshot memory) {
            long now = agenda.now();
            balancer.start(now);
            List<EndpointDescriptor> list =
                    servers.stream()
                            .map(
                                    s ->
                                            new EndpointDescriptor(
                                                    s.id,
                                                    s.number % 2,
                                                    0,
                                                    s.number % 4,
                                                    EndpointState.READY,
                                                    1,
                                                    place.launched[s.number]))
                            .toList();
            balancer.updateEndpoints(now, EndpointListUpdateType.RESTORED, list);
            balancer.updateEndpoints(now, EndpointListUpdateType.FULL, list);
            if (memory != null) {
                balancer.restoreState(now, SECOND / 2, SECOND / 2, memory);
            }
        }

        void take() {
            long now = agenda.now();
            double work = -Math.log(1 - random.nextDouble()) * plan.work;
            RequestClass c = place.settings.requestClasses().get(random.nextInt(2));
            Asked r =
                    new Asked(
                            "r" + requests++,
                            work,
                            now + c.latencyObjectiveMicros(),
                            now + c.clientTimeoutMicros(),
                            now >= EVENT);
            open.put(r.id, r);
            agenda.at(r.deadline, () -> deadline(r));
            balancer.requestReceived(
                    now,
                    new RequestDescriptor(
                            r.id,
                            c.name().equals("keyed") ? 1 : 0,
                            0,
                            plan.keys
                                    ? "k" + (int) (500 * Math.pow(random.nextDouble(), plan.hot))
                                    : null,
                            plan.hints ? Math.max(1, (long) work) : 0,
                            c.clientTimeoutMicros(),
                            false,
                            false));
        }

        private void deadline(Asked r) {
            r.calls.forEach(c -> c.end(AttemptOutcome.TIMEOUT));
            r.ended = true;
            open.remove(r.id);
        }

        void ended(Call c, AttemptOutcome outcome) {
            boolean first = outcome == AttemptOutcome.SUCCESS && !c.of.ended;
            if (first) {
                c.of.ended = true;
                inAim += c.of.counts && agenda.now() <= c.of.aimAt ? 1 : 0;
            }
            if (alive) {
                balancer.attemptEnded(
                        agenda.now(),
                        new AttemptResult(
                                c.of.id,
                                c.number,
                                c.to.id,
                                outcome,
                                agenda.now() - c.at,
                                c.of.ended,
                                outcome == AttemptOutcome.SUCCESS && !plan.probes
                                        ? c.to.report()
                                        : null));
            }
        }

        @Override
        public void sendAttempt(String request, String upstream, long timeout) {
            Asked r = open.get(request);
            Server s = servers.get(Integer.parseInt(upstream.substring(1)));
            Call c =
                    new Call(
                            this,
                            r,
                            r.calls.size(),
                            s,
                            agenda.now(),
                            place.launched[s.number] == s.launchedAt);
            r.calls.add(c);
            agenda.in(WAY, () -> s.take(c));
        }

        @Override
        public void reject(String request, long retryAfter) {
            fail(request);
        }

        @Override
        public void fail(String request) {
            open.get(request).ended = true;
        }

        @Override
        public void cancelAttempt(String request, int attempt) {
            Asked r = open.get(request);
            if (r != null) {
                agenda.in(0, () -> r.calls.get(attempt).end(AttemptOutcome.CANCELLED));
            }
        }

        @Override
        public void scheduleTimer(String token, long delay) {
            agenda.in(
                    Math.max(1, delay),
                    () -> {
                        if (alive && (place.now == this || place.next == this || !open.isEmpty())) {
                            balancer.timerExpired(agenda.now(), token);
                        }
                    });
        }

        @Override
        public void probeEndpoint(String upstream) {
            Server s = servers.get(Integer.parseInt(upstream.substring(1)));
            agenda.in(
                    WAY,
                    () -> {
                        LoadReport load = s.report();
                        agenda.in(
                                WAY,
                                () -> {
                                    if (alive) {
                                        balancer.probeCompleted(
                                                agenda.now(),
                                                upstream,
                                                s.up
                                                        ? AttemptOutcome.SUCCESS
                                                        : AttemptOutcome.CONNECT_FAILED,
                                                s.up ? load : null);
                                    }
                                });
                    });
        }

        @Override
        public void closeIdleConnections(String upstream) {}

        @Override
        public void watchEndpointList(boolean on) {}

        @Override
        public void fetchEndpointList() {}

        @Override
        public void sendToPeer(int peer, byte[] body) {
            agenda.in(
                    2 * WAY,
                    () -> {
                        for (Place p : places) {
                            if (p != place && p.now != null && (peer < 0 || p.position == peer)) {
                                p.now.balancer.peerMessageReceived(
                                        agenda.now(), place.position, body);
                            }
                        }
                    });
        }

        @Override
        public void log(String text) {}
    }
}
