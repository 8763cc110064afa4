package loadbalancer.faults.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Connections between hosts in virtual time; each direction between two hosts can be silent. */
final class StreamNetwork {
    private static final long MILLISECOND = 1_000_000;
    private static final long SHORTEST_DELAY = MILLISECOND / 5;

    /** A connection that was silent delivers again within this time, as retransmissions do. */
    private static final long LONGEST_RETRANSMISSION = 1_000 * MILLISECOND;

    private final EventQueue queue;
    private final RandomGenerator random;
    private final Set<Direction> silent = new HashSet<>();
    private final Set<StreamConnection> connections = new LinkedHashSet<>();
    private long longestDelay = 2 * MILLISECOND;

    /** From one host to another. */
    private record Direction(String from, String to) {}

    StreamNetwork(EventQueue queue, RandomGenerator random) {
        this.queue = queue;
        this.random = random;
    }

    EventQueue queue() {
        return queue;
    }

    /** Messages take up to this time from now on. */
    void setLongestDelay(long nanos) {
        longestDelay = Math.max(SHORTEST_DELAY + 1, nanos);
    }

    /** A drawn time that a message takes. */
    long delay() {
        return random.nextLong(SHORTEST_DELAY, longestDelay);
    }

    /** Nothing passes from one host to the other, and nobody is told. */
    void silence(VirtualHost from, VirtualHost to) {
        silent.add(new Direction(from.name(), to.name()));
    }

    /** Ends {@link #silence}; what waited is delivered after a retransmission. */
    void restore(VirtualHost from, VirtualHost to) {
        if (silent.remove(new Direction(from.name(), to.name()))) {
            for (StreamConnection connection : touching(from)) {
                queue.after(random.nextLong(LONGEST_RETRANSMISSION), connection::deliver);
            }
        }
    }

    boolean isSilent(VirtualHost from, VirtualHost to) {
        return silent.contains(new Direction(from.name(), to.name()));
    }

    void add(StreamConnection connection) {
        connections.add(connection);
    }

    void remove(StreamConnection connection) {
        connections.remove(connection);
    }

    /** What waited in the buffers of a host that was woken is delivered. */
    void deliverTo(VirtualHost host) {
        touching(host).forEach(StreamConnection::deliver);
    }

    /** The host is dead: the other sides of its connections hear of it if they can. */
    void breakConnectionsOf(VirtualHost host) {
        touching(host).forEach(connection -> connection.breakOff(host));
    }

    /** Breaks connections of a host by a fault in between; both sides hear of it if they can. */
    void loseConnectionsOf(VirtualHost host) {
        touching(host).forEach(StreamConnection::lose);
    }

    private List<StreamConnection> touching(VirtualHost host) {
        List<StreamConnection> found = new ArrayList<>();
        for (StreamConnection connection : connections) {
            if (connection.touches(host)) {
                found.add(connection);
            }
        }
        return found;
    }
}
