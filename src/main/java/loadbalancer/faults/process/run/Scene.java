package loadbalancer.faults.process.run;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import loadbalancer.faults.process.RigFailure;
import loadbalancer.faults.process.peer.Clients;
import loadbalancer.faults.process.peer.DiscoveryStandIn;
import loadbalancer.faults.process.peer.EvidenceLog;
import loadbalancer.faults.process.peer.Pace;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Upstream;
import loadbalancer.faults.process.plan.Plan;
import loadbalancer.faults.process.program.BalancerInstance;
import loadbalancer.faults.process.program.Program;
import loadbalancer.faults.process.program.Reaper;
import loadbalancer.faults.process.relay.LinkDirection;
import loadbalancer.faults.process.relay.TcpRelay;
import loadbalancer.faults.process.relay.UdpSwitch;
import loadbalancer.faults.process.topology.Topology;
import loadbalancer.lab.sim.Streams;

/** All that there is in a run: peers, relays and balancers. */
public final class Scene implements AutoCloseable {
    /** Of the fast, the middle and the slow ones. */
    private static final long[] WORK_MS = {4, 8, 16};

    private static final List<String> KINDS = List.of("fast", "middle", "slow");
    private static final double COLD_FACTOR = 3;
    private static final long COLD_MS = 2_000;
    private static final int PROBE_MS = 30_000;

    final Topology topology;
    final EvidenceLog log = new EvidenceLog();
    private final List<AutoCloseable> open = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final List<List<TcpRelay>> links = new ArrayList<>();
    private final List<TcpRelay> toDiscovery = new ArrayList<>();
    private final List<BalancerInstance> instances = new ArrayList<>();
    private final DiscoveryStandIn discovery;
    private final UdpSwitch members;
    private final Streams streams;
    private volatile Clients clients;

    /** Starts peers and relays, and lays out the balancers' folders. */
    Scene(Plan plan, Program program, Topology.OperatorText text, Path folder) throws IOException {
        streams = new Streams(plan.seed());
        topology = new Topology(plan.balancers(), plan.upstreams(), plan.deployment());
        open.add(topology);
        try {
            EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
            open.add(() -> group.shutdownGracefully(0, PROBE_MS, TimeUnit.MILLISECONDS).sync());
            discovery =
                    keep(
                            new DiscoveryStandIn(
                                    IntStream.range(0, plan.balancers())
                                            .mapToObj(topology::discoveryDoor)
                                            .toList(),
                                    log));
            for (int u = 0; u < plan.upstreams(); u++) {
                Pace pace = Pace.warm(WORK_MS[u % WORK_MS.length]).coldFor(COLD_FACTOR, COLD_MS);
                upstreams.add(keep(new Upstream("s-" + u, topology.upstream(u), pace, log)));
            }
            for (int b = 0; b < plan.balancers(); b++) {
                connect(group, b, plan.upstreams());
            }
            members =
                    keep(
                            new UdpSwitch(
                                    group.next(),
                                    all(topology::member),
                                    all(topology::front),
                                    place -> direction("datagrams " + place)));
            Reaper reaper = keep(new Reaper(Program.MARK));
            for (int b = 0; b < plan.balancers(); b++) {
                instances.add(
                        keep(
                                new BalancerInstance(
                                        b,
                                        topology,
                                        text,
                                        program,
                                        plan.skewed(b),
                                        folder,
                                        reaper,
                                        log)));
            }
            discovery.publish(upstreams.stream().map(this::entry).toList());
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    /** Opens the relays of one balancer: to each upstream, and to discovery. */
    private void connect(EventLoopGroup group, int balancer, int upstreamCount) throws IOException {
        List<TcpRelay> row = new ArrayList<>();
        for (int upstream = 0; upstream < upstreamCount; upstream++) {
            row.add(
                    keep(
                            new TcpRelay(
                                    group.next(),
                                    topology.upstream(balancer, upstream),
                                    topology.upstream(upstream),
                                    direction("out " + balancer + " " + upstream),
                                    direction("back " + balancer + " " + upstream))));
        }
        links.add(row);
        toDiscovery.add(
                keep(
                        new TcpRelay(
                                group.next(),
                                topology.discovery(balancer),
                                topology.discoveryDoor(balancer),
                                direction("ask " + balancer),
                                direction("tell " + balancer))));
    }

    private <T extends AutoCloseable> T keep(T next) {
        open.add(next);
        return next;
    }

    private <T> List<T> all(IntFunction<T> of) {
        return IntStream.range(0, topology.balancers()).mapToObj(of).toList();
    }

    /** A stream of chance for one concern. */
    RandomGenerator random(String concern) {
        return new SplittableRandom(streams.seedOf(concern));
    }

    private LinkDirection direction(String concern) {
        return new LinkDirection(random(concern));
    }

    private DiscoveryStandIn.Entry entry(Upstream upstream) {
        int number = upstreams.indexOf(upstream);
        List<String> addresses = all(b -> Topology.text(topology.upstream(b, number)));
        return new DiscoveryStandIn.Entry(
                upstream.id(),
                addresses,
                Topology.zone(number),
                KINDS.get(number % KINDS.size()),
                "Ready",
                1.0 / WORK_MS[number % WORK_MS.length],
                0);
    }

    /** An upstream as discovery lists it when all is well. */
    DiscoveryStandIn.Entry ready(int upstream) {
        return entry(upstreams.get(upstream)).started(upstreams.get(upstream).startedMs());
    }

    /** The upstreams' stand-ins. */
    public List<Upstream> upstreams() {
        return upstreams;
    }

    /** The balancers. */
    public List<BalancerInstance> instances() {
        return instances;
    }

    /** Discovery's stand-in. */
    public DiscoveryStandIn discovery() {
        return discovery;
    }

    /** Those who ask are these, from now on. */
    void clients(Clients asking) {
        clients = asking;
    }

    Clients clients() {
        return clients;
    }

    /** What lies between a balancer and an upstream. */
    public TcpRelay link(int balancer, int upstream) {
        return links.get(balancer).get(upstream);
    }

    /** What lies between a balancer and discovery. */
    public TcpRelay toDiscovery(int balancer) {
        return toDiscovery.get(balancer);
    }

    /** What lies between balancers. */
    public UdpSwitch members() {
        return members;
    }

    /** Whether stand-ins and relays do what they are for; complains of the first that doesn't. */
    void check() {
        for (int u = 0; u < upstreams.size(); u++) {
            probe("upstream " + u, topology.upstream(u));
            for (int b = 0; b < instances.size(); b++) {
                probe(
                        "the relay from balancer " + b + " to upstream " + u,
                        topology.upstream(b, u));
            }
        }
        for (int b = 0; b < instances.size(); b++) {
            probe("the relay from balancer " + b + " to discovery", topology.discovery(b));
        }
    }

    private static void probe(String what, InetSocketAddress at) {
        try (Sockets.Client client = new Sockets.Client(at, PROBE_MS)) {
            Sockets.Message answer =
                    client.write("GET " + Upstream.PROBE + " HTTP/1.1\r\n\r\n").read();
            if (answer == null || answer.status() != 200) {
                throw new RigFailure(what + " does not answer as it should");
            }
        } catch (IOException e) {
            throw new RigFailure(what + " does not answer", e);
        }
    }

    /** Ends everything, the balancers first, and what follows too if one of them can't be ended. */
    @Override
    public void close() {
        RigFailure first = null;
        for (int i = open.size() - 1; i >= 0; i--) {
            try {
                open.get(i).close();
            } catch (Exception e) {
                first = first == null ? new RigFailure("can't end a part of the rig", e) : first;
            }
        }
        if (first != null) {
            throw first;
        }
    }
}
