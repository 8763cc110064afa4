package loadbalancer.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import loadbalancer.lab.sim.Streams;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.settings.InvalidInputException;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One run: the real balancer's code, scripted peers, a plan's faults, and checks after every step.
 */
final class VirtualWorld {
    static final InetSocketAddress LISTEN = address(1, 1, 9600);
    private static final long WINDOW = 1_200_000;
    private static final long GRACE = 2_000_000;
    private static final long MOST_DELAY = 600;
    private static final int ATTEMPTS = 3;
    private static final int SOCKETS = 512;

    /** More than a process has descriptors. */
    private static final int IDLERS = SOCKETS + 100;

    private static final long LONGEST_DIAL = 1_500_000;
    private static final long LONGEST_CROWD = 5_000_000;

    /** After these an attempt that was written whole has reached its upstream whole. */
    private static final Set<Fault.Kind> LOSSLESS =
            EnumSet.of(
                    Fault.Kind.ERRORS,
                    Fault.Kind.FULL,
                    Fault.Kind.SPOILT,
                    Fault.Kind.TWICE,
                    Fault.Kind.INTERIM,
                    Fault.Kind.RELOAD,
                    Fault.Kind.RELOAD_BAD,
                    Fault.Kind.CLOCK_STEP,
                    Fault.Kind.RUDE,
                    Fault.Kind.BURST,
                    Fault.Kind.DISCOVERY_DOWN,
                    Fault.Kind.DISCOVERY_LATE,
                    Fault.Kind.DISCOVERY_OLD,
                    Fault.Kind.DISCOVERY_TORN,
                    Fault.Kind.PIPELINERS,
                    Fault.Kind.SLOW_READERS,
                    Fault.Kind.REPEATERS,
                    Fault.Kind.QUEUE_FULL,
                    Fault.Kind.DISK_FULL,
                    Fault.Kind.UPSTREAM_QUEUE_FULL);

    final Timeline timeline = new Timeline(this::afterStep);
    final VirtualNetwork network;
    final Oracle oracle;
    final List<Upstream> upstreams = new ArrayList<>();
    final Host clients = new Host("clients");
    final VirtualDiscovery discovery;
    final LoadBalancerFactory modules;

    /** Where balancers keep what they know; null in every other scenario. */
    MemoryDisk disk;

    /**
     * How old the list is that the configuration has; null for the one that is true at the start.
     */
    String known;

    int maxAttempts = ATTEMPTS;
    double leaving;
    double slowReaders;
    double repeating;
    double hasty;

    /** How many connections a process may have at a time; 0 for any. */
    int descriptors;

    private final Plan plan;
    private final Streams streams;
    private final StringBuilder trace = new StringBuilder();
    private final List<Process> processes = new ArrayList<>();
    private String config;
    private int attempts = ATTEMPTS;
    private boolean stopping;
    private boolean killed;
    private double burst = 1;
    private long ids;

    /** What a run showed. */
    record Outcome(
            Plan plan,
            List<String> breaches,
            String trace,
            int requests,
            long answered,
            long steps) {}

    VirtualWorld(Plan plan, LoadBalancerFactory modules) {
        this.plan = plan;
        this.modules = modules;
        this.disk = plan.seed() % 2 == 0 ? new MemoryDisk() : null;
        streams = new Streams(plan.seed());
        network = new VirtualNetwork(timeline, streams.of("network"));
        network.quality(200, 300, plan.cuts());
        descriptors = plan.has(Fault.Kind.IDLERS) ? SOCKETS : 0;
        oracle = new Oracle(timeline, WINDOW, GRACE, MOST_DELAY);
        discovery = new VirtualDiscovery(this);
        for (int i = 0; i < plan.upstreams(); i++) {
            upstreams.add(new Upstream(this, i, streams.of("upstream/" + i)));
        }
    }

    static InetSocketAddress address(int net, int number, int port) {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(new byte[] {127, 0, (byte) net, (byte) number}), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an address of four bytes is one", e);
        }
    }

    static Outcome play(Plan plan) {
        return play(plan, LoadBalancerFactory.BALANCE, w -> {});
    }

    /** The same with another module, and with more in it than the plan has. */
    static Outcome play(Plan plan, LoadBalancerFactory modules, Consumer<VirtualWorld> more) {
        VirtualWorld world = new VirtualWorld(plan, modules);
        more.accept(world);
        world.run();
        return new Outcome(
                plan,
                world.oracle.breaches,
                world.trace.toString(),
                world.oracle.requests(),
                world.oracle.answered(),
                world.timeline.steps());
    }

    void trace(String what) {
        trace.append(timeline.micros()).append(' ').append(what).append('\n');
    }

    long nextId() {
        return ids++;
    }

    private void run() {
        config = config(ATTEMPTS);
        start();
        for (Fault f : plan.faults()) {
            timeline.at(f.atMs() * 1_000, () -> strike(f));
        }
        UniformRandomProvider arrivals = streams.of("arrivals");
        UniformRandomProvider talk = streams.of("clients");
        if (plan.rate() > 0) {
            timeline.in(300_000, () -> arrive(arrivals, talk));
        }
        long end = plan.lengthMs() * 1_000 + 4_000_000;
        timeline.runUntil(end);
        finish(end);
    }

    private void arrive(UniformRandomProvider arrivals, UniformRandomProvider talk) {
        if (timeline.micros() > plan.lengthMs() * 1_000 || stopping) {
            return;
        }
        if (talk.nextDouble() < pipelining) {
            new Pipeliner(this, talk).connect();
        } else {
            new Client(this, talk, 1 + talk.nextInt(4), talk.nextDouble() < rude).connect();
        }
        double gap = -Math.log(1 - arrivals.nextDouble()) * 1e6 / (plan.rate() * burst / 2);
        timeline.in((long) gap, () -> arrive(arrivals, talk));
    }

    private double rude;
    private double pipelining;
    private int starved;

    // ---- The balancer
    // --------------------------------------------------------------------------------

    private String config(int attempts) {
        StringBuilder listed = new StringBuilder();
        for (Upstream u : upstreams) {
            listed.append(listed.isEmpty() ? "" : ",")
                    .append(VirtualDiscovery.entry(u, u.id, "Ready"));
        }
        return "{\"listen\":\""
                + text(LISTEN)
                + "\",\"discovery\":\""
                + text(discovery.address)
                + "\",\"seed\":\""
                + Long.toHexString(plan.seed() & 0xFFFF)
                + "\",\"limits\":{\"sockets\":"
                + SOCKETS
                + "},\"known\":{\"version\":0,\"full\":true,\"servers\":["
                + (known == null ? listed : known)
                + "]},\"settings\":{\"az\":0,"
                + "\"localities\":[\"z0\",\"z1\"],\"kinds\":[\"k\"],\"position\":0,\"group-size\":1,"
                + "\"classes\":["
                + cls("lookup", "free", "0.5")
                + ","
                + cls("push", "guarded", "0.5")
                + ","
                + cls("once", "single_shot", "0.5")
                + "],\"parties\":[{\"name\":\"acme\",\"share\":1}],\"over-share-worth\":1,"
                + "\"ceilings\":{\"try-limit\":"
                + attempts
                + ",\"cancel\":true,\"may-duplicate\":true,"
                + "\"probes\":false,\"peers\":false,\"multiplex\":1,"
                + "\"max-open\":200,\"retry-after\":true,\"max-retry-after-s\":2,"
                + "\"connect-timeout-s\":"
                + (plan.has(Fault.Kind.LATE_DIAL) ? "2" : "0.25")
                + ",\"conn-idle-s\":5},\"rules\":{\"answer-slack-s\":0.02,"
                + "\"ask-within-s\":10,\"drain-grace-s\":2,\"cold-s\":3,\"start-capacity\":0.3,"
                + "\"fall-multiple\":3,\"fall-s\":3},\"report\":{\"names\":[\"cpu\"],\"via\":\"piggyback\"},"
                + "\"weights\":\"silent\","
                + "\"prices\":{\"cross-zone\":0,\"waste\":0,\"probe\":0,\"peer\":0,"
                + "\"late-fail\":0,\"handshake\":0},\"tick-s\":0.001,\"discovery\":\"pushed\"}}";
    }

    private static String cls(String name, String repeat, String aim) {
        return "{\"name\":\""
                + name
                + "\",\"repeat\":\""
                + repeat
                + "\",\"dedup-scope\":\"all\","
                + "\"memory-span-s\":1.2,\"aim-s\":"
                + aim
                + ",\"give-up-s\":2,\"worth\":1,\"late-worth\":0.5}";
    }

    private static String text(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    private Process start() {
        Process p =
                new Process(this, processes.size(), streams.seedOf("process/" + processes.size()));
        processes.add(p);
        try {
            p.start();
        } catch (InvalidInputException | IOException e) {
            throw new IllegalStateException("the scenario's configuration is bad", e);
        }
        return p;
    }

    byte[] configBytes() {
        return config.getBytes(StandardCharsets.UTF_8);
    }

    /** Whether another process than this one lives. */
    boolean hasSibling(Process of) {
        return processes.stream().anyMatch(p -> p != of && p.lives());
    }

    /**
     * The files of the sibling that was started last, which may have ended since; null if there was
     * no sibling.
     */
    VirtualSiblingFiles siblingFiles(Process of) {
        return processes.stream()
                .filter(p -> p != of)
                .reduce((first, second) -> second)
                .map(Process::files)
                .orElse(null);
    }

    /** Whether another process is there, and there to stay. */
    boolean hasSuccessor(Process of) {
        return processes.stream().anyMatch(p -> p != of && p.lives() && !p.isStopping());
    }

    /** Whether that process has ended: what is written to it tells nobody. */
    boolean hasEnded(Host host) {
        return processes.stream().anyMatch(p -> p.is(host) && !p.lives());
    }

    /** Whether another process than this one lets clients in. */
    boolean hasListeningSibling(Process of) {
        return processes.stream().anyMatch(p -> p != of && p.listens());
    }

    /**
     * Whether that process was told to stop a while ago, and another one is there for its clients.
     */
    boolean hasHandedOver(Host host) {
        return processes.stream()
                .anyMatch(
                        p ->
                                p.is(host)
                                        && p.stoppingFor() > 100_000
                                        && !p.stoppedAlone()
                                        && hasSibling(p));
    }

    private Process current() {
        return processes.get(processes.size() - 1);
    }

    /** Requests whose process was killed, or had not enough, or ended, are nobody's fault here. */
    boolean excuses() {
        return killed || stopping || starved > 0;
    }

    // ---- Faults
    // --------------------------------------------------------------------------------------

    private void strike(Fault f) {
        trace("fault " + f.kind() + " " + f.target() + " for " + f.lenMs() + " ms");
        long len = f.lenMs() * 1_000;
        Upstream u = upstreams.get(f.target() % upstreams.size());
        switch (f.kind()) {
            case DIE -> die(u, len, u.id);
            case REPLACE -> die(u, len, u.id + "'");
            case VANISH -> vanish(List.of(u), len);
            case ZONE_VANISH ->
                    vanish(upstreams.stream().filter(v -> v.zone == f.target() % 2).toList(), len);
            case ZONE_DIE ->
                    upstreams.stream()
                            .filter(v -> v.zone == f.target() % 2)
                            .forEach(v -> die(v, len, v.id));
            case DRAIN ->
                    drain(
                            u,
                            2_500_000 + 3 * len); // also long enough for a word that did not arrive
            case MUTE -> {
                u.host.mute = true;
                timeline.in(len, () -> u.host.mute = false);
            }
            case HANG, ERRORS, FULL, BREAK, BREAK_MID, SPOILT, TWICE, INTERIM -> {
                u.trouble(f.kind(), f.size());
                timeline.in(len, () -> u.trouble(f.kind(), 0));
            }
            case UPSTREAM_QUEUE_FULL -> {
                u.queueFull = true;
                timeline.in(len, () -> u.queueFull = false);
            }
            case UNFRAMED, UNFRAMED_RESET, NOISE, IDLE_CLOSE -> {
                u.trouble(f.kind(), f.size());
                timeline.in(len, () -> u.trouble(f.kind(), 0));
            }
            case LATE_DIAL -> {
                u.host.lateDial = (long) (f.size() * LONGEST_DIAL);
                timeline.in(len, () -> u.host.lateDial = 0);
            }
            case LEAVERS,
                    RUDE,
                    BURST,
                    PIPELINERS,
                    SLOW_READERS,
                    REPEATERS,
                    HASTY,
                    RESTERS,
                    IDLERS ->
                    strikeClients(f, len);
            default -> strikeDiscoveryOrProcess(f, len);
        }
    }

    private void strikeDiscoveryOrProcess(Fault f, long len) {
        switch (f.kind()) {
            case DISCOVERY_DOWN -> {
                discovery.down(true);
                timeline.in(len, () -> discovery.down(false));
            }
            case DISCOVERY_LATE -> {
                discovery.late = len;
                timeline.in(len, () -> discovery.late = 0);
            }
            case DISCOVERY_OLD -> discovery.tellOld();
            case DISCOVERY_TORN -> discovery.tornNext = true;
            case DISK_FULL -> {
                if (disk != null) {
                    disk.full(true);
                    timeline.in(len, () -> disk.full(false));
                }
            }
            case WATCH_SILENT,
                    WATCH_RESET,
                    DISCOVERY_MUTE,
                    DISCOVERY_FULL,
                    DISCOVERY_BUSY,
                    DISCOVERY_ENDLESS ->
                    discovery.strike(f);
            default -> strikeProcess(f, len);
        }
    }

    private void strikeProcess(Fault f, long len) {
        switch (f.kind()) {
            case RELOAD -> {
                attempts = 1 + (int) (f.size() * 2);
                config = config(attempts);
                current().reload();
            }
            case RELOAD_BAD -> {
                String good = config;
                config = good.substring(0, (int) (good.length() * f.size()));
                current().reload();
                config = good;
            }
            case KILL -> {
                killed = true;
                current().kill();
                timeline.in(len, this::startIfNoneServes);
            }
            case HAND_OVER -> handOver();
            case TERM -> {
                current().stop();
                timeline.in(len, this::startIfNoneServes);
            }
            case MOVE -> {
                discovery.move();
                config = config(attempts);
                current().reload();
            }
            case STARVED -> starveOfTime(f.size(), len);
            case CLOCK_STEP ->
                    current().transport.stepWallClock((long) ((f.size() - 0.5) * 10_000));
            case QUEUE_FULL -> {
                VirtualTransport t = current().transport;
                t.queueFull(true);
                timeline.in(len, () -> t.queueFull(false));
            }
            case DESCRIPTORS -> {
                VirtualTransport t = current().transport;
                t.descriptorsLeft((int) (f.size() * 10));
                oracle.scarce(true);
                starve(
                        len,
                        () -> {
                            t.descriptorsLeft(-1);
                            oracle.scarce(false);
                        });
            }
            case NO_MEMORY -> {
                ScarceAllocator memory = current().transport.allocator();
                memory.empty(true);
                starve(len / 10, () -> memory.empty(false));
            }
            default -> throw new IllegalStateException("unknown fault " + f.kind());
        }
    }

    private void starveOfTime(double size, long len) {
        VirtualLoop loop = current().transport.virtualLoop();
        UniformRandomProvider turns = streams.of("turns");
        long longest = 1 + (long) (size * Fault.LONGEST_TURN_MS * 1e6);
        loop.turnsTake(() -> turns.nextLong(longest));
        oracle.behind(true);
        timeline.in(
                len,
                () -> {
                    loop.turnsTake(() -> 0);
                    oracle.behind(false);
                });
    }

    /** For a second more whatever had to go is still being cleared up. */
    private void starve(long len, Runnable end) {
        starved++;
        timeline.in(len, end);
        timeline.in(len + 1_000_000, () -> starved--);
    }

    private void strikeClients(Fault f, long len) {
        switch (f.kind()) {
            case LEAVERS -> {
                leaving = f.size();
                timeline.in(len, () -> leaving = 0);
            }
            case RUDE -> {
                rude = f.size() / 2;
                timeline.in(len, () -> rude = 0);
            }
            case BURST -> {
                burst = 1 + 4 * f.size();
                timeline.in(len, () -> burst = 1);
            }
            case PIPELINERS -> {
                pipelining = f.size() / 2;
                timeline.in(len, () -> pipelining = 0);
            }
            case SLOW_READERS -> {
                slowReaders = f.size() / 2;
                timeline.in(len, () -> slowReaders = 0);
            }
            case REPEATERS -> {
                repeating = f.size();
                timeline.in(len, () -> repeating = 0);
            }
            case HASTY -> {
                hasty = f.size();
                timeline.in(len, () -> hasty = 0);
            }
            case RESTERS -> {
                UniformRandomProvider random = streams.of("resters/" + f.atMs());
                for (int i = 0; i < 1 + (int) (f.size() * 20); i++) {
                    timeline.in(random.nextLong(len), () -> new Rester(this, random).connect());
                }
            }
            case IDLERS -> {
                discovery.down(true);
                timeline.in(len, () -> discovery.down(false));
                oracle.scarce(true); // until the balancer has made room, which it does by and by
                timeline.in(LONGEST_CROWD, () -> oracle.scarce(false));
                for (int i = 0; i < IDLERS; i++) {
                    timeline.in(i * 200L, () -> network.connect(clients, LISTEN, new Idler()));
                }
            }
            default -> throw new IllegalStateException("no fault of clients: " + f.kind());
        }
    }

    private void die(Upstream u, long len, String as) {
        if (!u.alive) {
            return;
        }
        String id = u.id;
        u.die();
        discovery.tell(u, id, "Gone", 300_000);
        timeline.in(
                len,
                () -> {
                    if (!u.alive) {
                        u.startAgain(as);
                        discovery.tell(u, as, "Ready", 200_000);
                    }
                });
    }

    private void vanish(List<Upstream> lost, long len) {
        lost.forEach(u -> u.host.silent = true);
        timeline.in(
                len,
                () ->
                        lost.forEach(
                                u -> {
                                    u.host.silent = false;
                                    network.breakAll(
                                            u.host); // what was sent meanwhile is lost, and back up
                                    // it says so
                                }));
    }

    private void drain(Upstream u, long len) {
        if (!u.alive || u.draining) {
            return;
        }
        u.draining = true;
        discovery.tell(u, u.id, "Terminating", 100_000);
        timeline.in(
                len,
                () -> {
                    if (u.draining) {
                        die(u, 500_000, u.id);
                    }
                });
    }

    private void startIfNoneServes() {
        if (!current().lives() || current().isStopping()) {
            startAnew();
        }
    }

    private void startAnew() {
        oracle.forgotten();
        discovery.newcomer();
        start();
    }

    private void handOver() {
        Process old = current();
        if (!old.lives() || old.isStopping()) {
            return;
        }
        discovery.newcomer();
        Process next = start();
        next.whenListening(old::stop);
    }

    // ---- Checks
    // --------------------------------------------------------------------------------------

    private void afterStep() {
        for (Process p : processes) {
            p.check(oracle);
        }
    }

    private long total(ToLongFunction<Process> figure) {
        return processes.stream().mapToLong(figure).sum();
    }

    /** Ends in order; then nothing may be left of it. */
    private void finish(long end) {
        stopping = true;
        processes.stream().filter(p -> p.lives() && !p.isStopping()).forEach(Process::stop);
        timeline.runUntil(end + 12_000_000);
        if (!killed) {
            oracle.figure("passed", total(p -> p.figure("handled.", ".passed")), 200);
            oracle.figure("dropped", total(p -> p.figure("handled.", ".dropped")), 503);
            oracle.figure("bad_gateway", total(p -> p.figure("handled.", ".bad_gateway")), 504);
            oracle.tries(
                    total(p -> p.figure("", "upstream_tries")),
                    plan.faults().stream().allMatch(f -> LOSSLESS.contains(f.kind())));
        }
        for (Process p : processes) {
            p.checkEnd(oracle);
        }
    }
}
