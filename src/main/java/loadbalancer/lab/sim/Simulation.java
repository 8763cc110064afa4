package loadbalancer.lab.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.CapacityWeightKind;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReportSource;
import loadbalancer.Prices;
import loadbalancer.RuleLimits;
import loadbalancer.TenantQuota;
import loadbalancer.lab.baseline.BalancerUnderTest;
import loadbalancer.lab.baseline.TrueServerState;
import loadbalancer.lab.scenario.Drawn;
import loadbalancer.lab.scenario.Scenario;
import loadbalancer.lab.scenario.Section;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One run: a world drawn from a scenario and a seed, played to its end with one sort of balancer.
 */
public final class Simulation implements Gateway.Surroundings, TrueServerState {
    /** Virtual time at the start; times of 0 have a meaning of their own. */
    static final long START = 100_000_000;

    private final Drawn drawn;
    private final EventQueue agenda = new EventQueue(START);
    private final SimulatedFleet fabric;
    private final Tally tally;
    private final List<TrafficClass> trafficClasses;
    private final List<Server> servers = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final Map<String, Server> byId = new HashMap<>();
    private final Stopwatch stopwatch;
    private final FaultSchedule troubles;
    private final Clients clients;
    private final Sampler sampler;
    private final long end;

    private Simulation(Scenario scenario, BalancerUnderTest contender, long seed, boolean timed) {
        Streams streams = new Streams(seed);
        drawn = scenario.draw(path -> streams.of("draw/" + path).nextDouble());
        trafficClasses = drawn.all("class").stream().map(TrafficClass::new).toList();
        Section run = drawn.section("run");
        end = START + run.micros("length_s");
        tally =
                new Tally(
                        START + run.micros("warmup_s"), trafficClasses, drawn.all("tenant").size());
        stopwatch = timed ? new Stopwatch() : null;
        Network network =
                new Network(drawn.section("network"), agenda, streams.of("network"), tally);
        Registry registry =
                new Registry(drawn.section("discovery"), agenda, streams.of("discovery"));
        fabric =
                new SimulatedFleet(
                        agenda, streams, contender, this, this, network, registry, tally,
                        stopwatch);
        buildServers(network);
        double capacity = capacity();
        double[] allowance = allowances(capacity);
        int zones = drawn.section("network").whole("zones");
        Section b = drawn.section("balancers");
        Front front = new Front(agenda, streams.of("front"), b.micros("notice_s"), zones);
        buildGateways(b, zones, allowance);
        Demand demand =
                new Demand(
                        drawn.section("load"),
                        capacity,
                        drawn.all("tenant"),
                        START,
                        end,
                        streams.of("demand"));
        troubles = new FaultSchedule(this, fabric, servers, gateways, front);
        troubles.plan(drawn.all("trouble"), START, end - START, demand, drawn.all("tenant"));
        clients = new Clients(drawn, fabric, front, demand, trafficClasses, allowance, end);
        sampler = new Sampler(agenda, servers, end);
        for (Gateway g : gateways) {
            agenda.in(
                    0,
                    () -> {
                        g.start();
                        front.up(g);
                    });
        }
        agenda.in(0, clients::arrive);
    }

    /** Requests a second that each tenant may send, over all balancers. */
    private double[] allowances(double capacity) {
        double quota = drawn.section("load").number("quota_of_capacity");
        return drawn.all("tenant").stream()
                .mapToDouble(t -> t.number("share") * capacity * quota)
                .toArray();
    }

    private void buildGateways(Section balancers, int zones, double[] allowance) {
        for (int i = 0; i < balancers.whole("count"); i++) {
            gateways.add(
                    new Gateway(
                            i,
                            i % zones,
                            settings(i % zones, zones, i, allowance),
                            fabric,
                            balancers.micros("tick_ms"),
                            balancers.micros("event_us")));
        }
    }

    /** Plays one run to its end. The same arguments give the same result, whatever else runs. */
    public static Result play(Scenario scenario, BalancerUnderTest contender, long seed) {
        Simulation simulation = new Simulation(scenario, contender, seed, false);
        simulation.run();
        return simulation.result();
    }

    /** What a run cost in real time: in all, and in the balancers' own code, in nanoseconds. */
    public record Timing(Result result, long nanos, long balancerNanos) {}

    /** Plays one run with a stopwatch; the result is the same as without. */
    public static Timing time(Scenario scenario, BalancerUnderTest contender, long seed) {
        long begin = System.nanoTime();
        Simulation simulation = new Simulation(scenario, contender, seed, true);
        simulation.run();
        return new Timing(
                simulation.result(), System.nanoTime() - begin, simulation.stopwatch.spent);
    }

    private void run() {
        while (agenda.step(end)) {
            continue;
        }
        // After the last arrival the run goes on until all is over and the servers are empty.
        long latest =
                end
                        + trafficClasses.stream()
                                .mapToLong(l -> l.told.clientTimeoutMicros())
                                .max()
                                .orElse(0)
                        + 600_000_000L;
        while ((clients.open() > 0 || servers.stream().anyMatch(s -> s.gauge.present() > 0))
                && drain(latest)) {
            continue;
        }
    }

    /** A stretch of a tenth of a second; whether there is more to come. */
    private boolean drain(long latest) {
        long until = Math.min(latest, agenda.now() + 100_000);
        boolean any = false;
        while (agenda.step(until)) {
            any = true;
        }
        if (!any) {
            agenda.in(100_000, () -> {});
        }
        return agenda.now() < latest;
    }

    // ---- Building
    // ------------------------------------------------------------------------------------

    private void buildServers(Network network) {
        Section s = drawn.section("servers");
        List<Section> kinds = drawn.all("kind");
        double shares = kinds.stream().mapToDouble(k -> k.number("share")).sum();
        int zones = drawn.section("network").whole("zones");
        UniformRandomProvider random = fabric.streams().of("fleet");
        for (int i = 0; i < s.whole("count"); i++) {
            // Kinds by largest remainder, so that a small fleet has its shares too.
            double at = (i + 0.5) / s.whole("count") * shares;
            int kind = 0;
            while (kind < kinds.size() - 1 && (at -= kinds.get(kind).number("share")) >= 0) {
                kind++;
            }
            int zone = random.nextDouble() < s.number("zone_skew") ? 0 : i % zones;
            double factor = Draws.factor(random, kinds.get(kind).number("speed_cv"));
            boolean chokes = random.nextDouble() < drawn.section("choke").number("share");
            Machine machine =
                    Machine.of(kinds.get(kind), kind, zone, i % s.whole("cells"), factor, chokes);
            Server server = new Server(i, machine, drawn, fabric.streams(), agenda, network);
            server.onFall(() -> fell(server));
            servers.add(server);
            name(server.id(), server);
            fabric.registry().listed(server.entry(EndpointState.READY));
        }
    }

    /** A server that was pushed over stays down until the end. */
    private void fell(Server server) {
        fabric.registry().tell(server.entry(EndpointState.REMOVED), false);
    }

    void name(String id, Server server) {
        byId.put(id, server);
    }

    /** Requests a second of the mean mix that the warm fleet can do. */
    private double capacity() {
        double shares = trafficClasses.stream().mapToDouble(l -> l.share).sum();
        double work = trafficClasses.stream().mapToDouble(l -> l.share * l.meanWork).sum() / shares;
        double power = servers.stream().mapToDouble(s -> s.machine.power()).sum();
        return work == 0 ? 0 : power / work * 1e6;
    }

    private LoadBalancerSettings settings(int zone, int zones, int position, double[] allowance) {
        Section l = drawn.section("limits");
        Section r = drawn.section("rules");
        Section p = drawn.section("prices");
        Section n = drawn.section("network");
        Section s = drawn.section("servers");
        List<TenantQuota> tenants = new ArrayList<>();
        for (int i = 0; i < allowance.length; i++) {
            tenants.add(new TenantQuota(allowance[i], drawn.all("tenant").get(i).number("share")));
        }
        return new LoadBalancerSettings(
                zone,
                zones,
                position,
                Math.max(1, drawn.section("balancers").whole("count")),
                trafficClasses.stream().map(c -> c.told).toList(),
                tenants,
                drawn.section("load").number("over_share_worth"),
                false,
                new LoadBalancerLimits(
                        l.whole("max_attempts"),
                        l.flag("second_copies"),
                        l.flag("probes"),
                        l.flag("cancel"),
                        l.flag("peers"),
                        l.whole("max_open"),
                        l.flag("retry_after"),
                        l.micros("max_retry_after_s"),
                        n.micros("connect_timeout_ms"),
                        n.micros("idle_s"),
                        1),
                new RuleLimits(
                        r.micros("answer_slack_ms"),
                        r.micros("ask_within_s"),
                        r.number("start_capacity"),
                        r.micros("cold_s"),
                        r.micros("drain_grace_s"),
                        s.number("fall_multiple"),
                        s.micros("fall_s")),
                new Prices(
                        p.number("cross_zone"),
                        p.number("waste"),
                        0,
                        0,
                        p.number("late_fail"),
                        p.number("handshake")),
                s.text("report").equals("none")
                        ? LoadReportSource.NONE
                        : LoadReportSource.RESPONSES,
                capacityWeightKind(s.text("ratings")),
                fabric.registry().mustBeAsked(),
                drawn.section("affinity").number("gain") > 0,
                drawn.section("balancers").micros("tick_ms"));
    }

    private static CapacityWeightKind capacityWeightKind(String ratings) {
        return switch (ratings) {
            case "none" -> CapacityWeightKind.NONE;
            case "nominal" -> CapacityWeightKind.NOMINAL;
            case "rough" -> CapacityWeightKind.APPROXIMATE;
            case "live" -> CapacityWeightKind.LIVE;
            default -> throw new IllegalArgumentException("unknown ratings " + ratings);
        };
    }

    // ---- What balancers need
    // -------------------------------------------------------------------------

    @Override
    public void answered(Try t) {
        clients.answered(t);
    }

    @Override
    public void refused(Try t, long retryAfter) {
        clients.ended(t, true, retryAfter);
    }

    @Override
    public void failed(Try t) {
        clients.ended(t, false, 0);
    }

    @Override
    public void unreachable(Try t) {
        tally.unreachable++;
        clients.ended(t, t.attempts.isEmpty(), 0);
    }

    @Override
    public Server server(String id) {
        return byId.get(id);
    }

    @Override
    public double timeToServe(String server, double work) {
        Server s = byId.get(server);
        double io = trafficClasses.stream().mapToLong(l -> l.io).max().orElse(0);
        return s.id().equals(server) ? s.timeToServe(work, (long) io) : Double.POSITIVE_INFINITY;
    }

    @Override
    public double workOf(String request) {
        return clients.workOf(request);
    }

    // ---- What it showed
    // ------------------------------------------------------------------------------

    private Result result() {
        return new Summary(
                        drawn, tally, servers, trafficClasses, troubles.struck(), sampler, agenda)
                .result();
    }
}
