package loadbalancer.lab.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.lab.scenario.Section;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/** Puts the troubles of a scenario on the time line. */
final class FaultSchedule {
    /** One trouble as it was drawn, for the report. */
    record Struck(String name, String kind, long from, long to) {}

    private final EventQueue agenda;
    private final Streams streams;
    private final List<Server> servers;
    private final List<Gateway> gateways;
    private final Registry registry;
    private final Front front;
    private final Simulation simulation;
    private final List<Struck> struck = new ArrayList<>();

    FaultSchedule(
            Simulation simulation,
            SimulatedFleet fabric,
            List<Server> servers,
            List<Gateway> gateways,
            Front front) {
        this.simulation = simulation;
        this.agenda = fabric.agenda();
        this.streams = fabric.streams();
        this.registry = fabric.registry();
        this.servers = servers;
        this.gateways = gateways;
        this.front = front;
    }

    List<Struck> struck() {
        return struck;
    }

    /**
     * Schedules all; {@code begin} is the run's start and {@code length} how long arrivals come.
     */
    void plan(
            List<Section> sections, long begin, long length, Demand demand, List<Section> tenants) {
        for (Section s : sections) {
            UniformRandomProvider random = streams.of("trouble/" + s.name());
            double place = random.nextDouble();
            long len = s.micros("len_s");
            long from =
                    s.number("at_s") >= 0
                            ? begin + s.micros("at_s")
                            : begin
                                    + (long)
                                            (length * 0.1
                                                    + place * Math.max(0, length * 0.7 - len));
            struck.add(new Struck(s.name(), s.text("kind"), from, from + len));
            List<Server> hit = hit(s, random);
            switch (s.text("kind")) {
                case "burst" ->
                        demand.bump(from, from + len, s.micros("rise_s"), s.number("size"), -1);
                case "tenant_flood" ->
                        demand.bump(
                                from,
                                from + len,
                                s.micros("rise_s"),
                                s.number("size"),
                                indexOf(tenants, s.text("tenant")));
                case "neighbour" -> neighbour(s, hit, from, from + len);
                case "zone_loss" -> zoneLoss(s, from, from + len);
                case "balancer_crash" ->
                        crash(part(gateways, s.number("part"), random), from, from + len);
                case "replacement" -> oneByOne(hit, from, s.micros("step_s"), v -> replace(v, len));
                case "rolling_drain" -> oneByOne(hit, from, s.micros("step_s"), v -> drain(v, len));
                case "discovery_outage" -> {
                    agenda.at(from, () -> registry.down(true));
                    agenda.at(from + len, () -> registry.down(false));
                }
                case "reload" ->
                        agenda.at(
                                from, () -> gateways.forEach(g -> reload(g, s.whole("attempts"))));
                case "starve" ->
                        part(gateways, s.number("part"), random)
                                .forEach(g -> starve(g, s, from, from + len, random.nextDouble()));
                default -> planGrey(s, hit, from, from + len);
            }
        }
    }

    private List<Server> hit(Section s, UniformRandomProvider random) {
        String kind = s.text("server_kind");
        List<Server> ofKind =
                servers.stream()
                        .filter(v -> kind.isEmpty() || v.machine.kind().equals(kind))
                        .toList();
        return part(ofKind, s.number("part"), random);
    }

    /** Servers that still answer, but slowly, wrongly or not each time. */
    private void planGrey(Section s, List<Server> hit, long from, long until) {
        double size = s.number("size");
        switch (s.text("kind")) {
            case "grey_errors" ->
                    grey(hit, from, until, v -> v.quickErrors(size), v -> v.quickErrors(0));
            case "grey_slow" ->
                    grey(hit, from, until, v -> v.slowFactor(1 + size), v -> v.slowFactor(1));
            case "grey_hang" ->
                    grey(hit, from, until, v -> v.hangs(Math.min(1, size)), v -> v.hangs(0));
            default -> throw new IllegalStateException("unknown trouble " + s.text("kind"));
        }
    }

    private static int indexOf(List<Section> tenants, String name) {
        for (int i = 0; i < tenants.size(); i++) {
            if (tenants.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** That share of them, at least one where the share is not 0. */
    private static <T> List<T> part(List<T> all, double share, UniformRandomProvider random) {
        List<T> mixed = new ArrayList<>(all);
        ListSampler.shuffle(random, mixed);
        int count = (int) Math.round(share * all.size());
        return mixed.subList(0, Math.min(all.size(), share > 0 ? Math.max(1, count) : 0));
    }

    private void oneByOne(List<Server> hit, long from, long step, Consumer<Server> what) {
        for (int i = 0; i < hit.size(); i++) {
            Server v = hit.get(i);
            agenda.at(from + i * step, () -> what.accept(v));
        }
    }

    private void grey(
            List<Server> hit, long from, long to, Consumer<Server> on, Consumer<Server> off) {
        agenda.at(from, () -> hit.forEach(on));
        agenda.at(to, () -> hit.forEach(off));
    }

    private void neighbour(Section s, List<Server> hit, long from, long to) {
        long turn = s.micros("on_off_s");
        boolean on = true;
        for (long at = from; at < to; at += turn == 0 ? to - from : turn) {
            double share = on ? Math.min(0.99, s.number("size")) : 0;
            agenda.at(at, () -> hit.forEach(v -> v.neighbour(share)));
            on = !on;
        }
        agenda.at(to, () -> hit.forEach(v -> v.neighbour(0)));
    }

    private void zoneLoss(Section s, long from, long to) {
        List<Server> lost =
                servers.stream().filter(v -> v.machine.zone() == s.whole("zone")).toList();
        boolean silent = s.flag("silent");
        agenda.at(from, () -> lost.forEach(v -> lose(v, silent)));
        agenda.at(to, () -> lost.forEach(v -> comeBack(v, v.id())));
        if (s.flag("with_balancers")) {
            List<Gateway> dead = gateways.stream().filter(g -> g.zone == s.whole("zone")).toList();
            agenda.at(from, () -> dead.forEach(g -> kill(g, silent)));
            agenda.at(to, () -> dead.forEach(this::revive));
        }
    }

    private void crash(List<Gateway> hit, long from, long to) {
        agenda.at(from, () -> hit.forEach(g -> kill(g, false)));
        agenda.at(to, () -> hit.forEach(this::revive));
    }

    private void kill(Gateway g, boolean silently) {
        g.die(silently);
        front.died(g);
    }

    private void revive(Gateway g) {
        if (!g.alive()) {
            g.start();
            front.up(g);
        }
    }

    private void lose(Server v, boolean silent) {
        if (v.alive()) {
            v.die(silent);
            registry.tell(v.entry(EndpointState.REMOVED), silent);
        }
    }

    /**
     * Up again at the same address: cold, and under another id where it is another process's heir.
     */
    void comeBack(Server v, String id) {
        if (v.alive()) {
            return;
        }
        v.startAgain(id);
        simulation.name(id, v);
        registry.tell(v.entry(EndpointState.READY), false);
    }

    /** Ends at once; a new process under a new id takes the address over after {@code len}. */
    private void replace(Server v, long len) {
        String old = v.id();
        lose(v, false);
        agenda.in(len, () -> comeBack(v, old + "'"));
    }

    /** Told as draining, ended after {@code len}, and started again right then. */
    private void drain(Server v, long len) {
        if (!v.alive()) {
            return;
        }
        registry.tell(v.entry(EndpointState.DRAINING), false);
        int life = v.life();
        agenda.in(
                len,
                () -> {
                    if (v.life() == life) {
                        v.die(false);
                        comeBack(v, v.id());
                    }
                });
    }

    private static void reload(Gateway g, int attempts) {
        LoadBalancerSettings s = g.settings();
        LoadBalancerLimits l = s.limits();
        LoadBalancerLimits changed =
                new LoadBalancerLimits(
                        attempts,
                        l.isHedgingAllowed(),
                        l.isProbingAllowed(),
                        l.isCancellationAllowed(),
                        l.isPeerMessagingAllowed(),
                        l.maxOpenRequests(),
                        l.isRetryAfterAllowed(),
                        l.maxRetryAfterMicros(),
                        l.connectTimeoutMicros(),
                        l.idleConnectionTimeoutMicros(),
                        l.attemptsPerConnection());
        g.change(
                new LoadBalancerSettings(
                        s.zoneIndex(),
                        s.zoneCount(),
                        s.balancerIndex(),
                        s.balancerCount(),
                        s.requestClasses(),
                        s.tenantQuotas(),
                        s.overQuotaWeightRatio(),
                        s.isWeightPerWork(),
                        changed,
                        s.ruleLimits(),
                        s.prices(),
                        s.loadReportSource(),
                        s.capacityWeightKind(),
                        s.isEndpointListOnRequest(),
                        s.hasKeyAffinity(),
                        s.tickMicros()));
    }

    /**
     * The process gets its share of time in lumps: of each turn it stands still for {@code size}.
     */
    private void starve(Gateway g, Section s, long from, long to, double phase) {
        long turn = Math.max(1000, s.micros("on_off_s"));
        long stall = (long) (turn * Math.min(0.99, s.number("size")));
        for (long at = from + (long) (phase * turn); at < to; at += turn) {
            long until = at + stall;
            agenda.at(at, () -> g.stall(until));
        }
    }
}
