package loadbalancer.faults.process.topology;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Who is where in a run. Balancers and upstreams are numbered from 0. Between a balancer and an
 * upstream, a balancer and discovery, and two balancers lies a relay, and each balancer is told the
 * relays' addresses in place of the others' own.
 */
public final class Topology implements AutoCloseable {
    private static final int BALANCERS = 2;
    private static final int UPSTREAMS = 4;
    private static final int DISCOVERY = 5;
    private static final int FRONT_OF_DISCOVERY = 6;
    private static final int FRONT_OF_MEMBERS = 7;
    private static final int CONTROL = 8;

    /** Fronts of upstreams: one address for each balancer, from this one. */
    private static final int FRONT_OF_UPSTREAMS = 20;

    /** So that each balancer has such an address. */
    public static final int MOST_BALANCERS = 200;

    private static final int PORT = 7_000;
    private static final int OPERATORS_PORT = 8_000;

    /**
     * Processes of one balancer take doors in turn: that many are more than are ever there at a
     * time.
     */
    private static final int DOORS = 16;

    private final Block block = Block.claim();
    private final int balancers;
    private final int upstreams;
    private final Deployment deployment;

    /** Takes a block of addresses for so many, with the usual settings. */
    public Topology(int balancers, int upstreams) {
        this(balancers, upstreams, Deployment.USUAL);
    }

    /** Takes a block of addresses for so many. */
    public Topology(int balancers, int upstreams, Deployment deployment) {
        if (balancers < 1 || balancers > MOST_BALANCERS || upstreams < 1) {
            throw new IllegalArgumentException(
                    "1 to " + MOST_BALANCERS + " balancers and an upstream");
        }
        this.balancers = balancers;
        this.upstreams = upstreams;
        this.deployment = deployment;
    }

    /** Whose settings they have. */
    public Deployment deployment() {
        return deployment;
    }

    /** Where an upstream stands. */
    public static String zone(int upstream) {
        return upstream % 2 == 0 ? "a" : "b";
    }

    /** How many balancers. */
    public int balancers() {
        return balancers;
    }

    /** How many upstreams. */
    public int upstreams() {
        return upstreams;
    }

    /** Where clients find a balancer. */
    public InetSocketAddress listen(int balancer) {
        return block.at(BALANCERS, PORT + balancer);
    }

    /** Where operators find the process of that number of a balancer. */
    public InetSocketAddress operators(int balancer, int process) {
        return block.at(BALANCERS, OPERATORS_PORT + DOORS * balancer + process % DOORS);
    }

    /** Where a balancer itself listens for datagrams of the others; they never learn it. */
    public InetSocketAddress member(int balancer) {
        return block.at(BALANCERS, PORT + balancer);
    }

    /** Where the others reach it: the relay's front. */
    public InetSocketAddress front(int balancer) {
        return block.at(FRONT_OF_MEMBERS, PORT + balancer);
    }

    /** Where a control machine listens; there is no relay before it. */
    public InetSocketAddress control(int machine) {
        return block.at(CONTROL, PORT + machine);
    }

    /** Where an upstream itself listens. */
    public InetSocketAddress upstream(int upstream) {
        return block.at(UPSTREAMS, PORT + upstream);
    }

    /** Where that balancer finds it. */
    public InetSocketAddress upstream(int balancer, int upstream) {
        return block.at(FRONT_OF_UPSTREAMS + balancer, PORT + upstream);
    }

    /** Discovery's own door for that balancer. */
    public InetSocketAddress discoveryDoor(int balancer) {
        return block.at(DISCOVERY, PORT + balancer);
    }

    /** Where that balancer finds discovery. */
    public InetSocketAddress discovery(int balancer) {
        return block.at(FRONT_OF_DISCOVERY, PORT + balancer);
    }

    /** A balancer's name among the others. */
    public static String name(int balancer) {
        return "b" + balancer;
    }

    /** What the operators' file of a balancer has to say; null for no such file. */
    public interface OperatorText {
        /** Without any. */
        OperatorText NONE = (balancer, topology) -> null;

        /** The whole text of its file. */
        String of(int balancer, Topology topology);
    }

    /**
     * The section that joins a balancer to the fleet: it listens at an address of its own and knows
     * the others, its seeds, by their fronts.
     *
     * @param advertise the key that says where others reach it; empty if the program has no such
     *     key
     */
    public String fleetSection(int balancer, Path key, int seeds, String advertise) {
        List<String> others =
                IntStream.range(0, balancers)
                        .filter(b -> b != balancer)
                        .limit(seeds)
                        .mapToObj(b -> quoted(text(front(b))))
                        .toList();
        List<String> roster = IntStream.range(0, balancers).mapToObj(b -> quoted(name(b))).toList();
        return "[fleet]\nname = "
                + quoted(name(balancer))
                + "\nlisten = "
                + quoted(text(member(balancer)))
                + "\n"
                + (advertise.isEmpty()
                        ? ""
                        : advertise + " = " + quoted(text(front(balancer))) + "\n")
                + "seeds = ["
                + String.join(", ", others)
                + "]\nkey = "
                + quoted(key.toString())
                + "\nroster = ["
                + String.join(", ", roster)
                + "]\n";
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }

    /** As configuration has it. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void close() throws IOException {
        block.close();
    }
}
