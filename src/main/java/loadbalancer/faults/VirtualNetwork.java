package loadbalancer.faults;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** Hosts, the connections between them, and what goes wrong on the way. */
final class VirtualNetwork {
    /** What listens at an address. */
    interface Listener {
        /** Whether one more may wait to be accepted; if not, the connection never comes up. */
        boolean hasRoom();

        void accept(End end);
    }

    /** How a connection came up, or did not. */
    interface Connecting {
        void up(End end);

        void refused();
    }

    private record Bound(Host host, Listener listener) {}

    private final Timeline timeline;
    private final UniformRandomProvider random;
    private final Map<InetSocketAddress, Deque<Bound>> bound = new HashMap<>();
    private final Set<End> open = new LinkedHashSet<>();
    private long base = 300;
    private long jitter = 200;

    /** Chance for each piece of bytes to be cut in two. */
    private double cuts;

    VirtualNetwork(Timeline timeline, UniformRandomProvider random) {
        this.timeline = timeline;
        this.random = random;
    }

    void quality(long baseMicros, long jitterMicros, double cutChance) {
        base = baseMicros;
        jitter = jitterMicros;
        cuts = cutChance;
    }

    long now() {
        return timeline.micros();
    }

    void at(long micros, Runnable what) {
        timeline.at(micros, what);
    }

    void in(long micros, Runnable what) {
        timeline.in(micros, what);
    }

    long delay(Host from, Host to) {
        return from == to ? 10 : base + (jitter == 0 ? 0 : random.nextLong(jitter));
    }

    /** Length of the next piece of so many bytes. */
    int cut(int length) {
        return length > 1 && cuts > 0 && random.nextDouble() < cuts
                ? 1 + random.nextInt(length - 1)
                : length;
    }

    boolean reaches(Host from, Host to) {
        return !from.silent && !to.silent && !from.mute;
    }

    /** Listens; of several at one address those that came later take turns with the first. */
    void listen(Host host, InetSocketAddress address, Listener listener) {
        bound.computeIfAbsent(address, a -> new ArrayDeque<>()).add(new Bound(host, listener));
    }

    void unlisten(InetSocketAddress address, Listener listener) {
        Deque<Bound> at = bound.get(address);
        if (at != null) {
            at.removeIf(b -> b.listener == listener);
        }
    }

    /** A host's process is gone, and its addresses with it. */
    void unlistenAll(Host host) {
        bound.values().forEach(at -> at.removeIf(b -> b.host == host));
    }

    /** Tries to connect; neither of the answers comes where the way is cut or nobody accepts. */
    void connect(Host from, InetSocketAddress to, Connecting result) {
        at(
                now() + base,
                () -> {
                    Deque<Bound> at = bound.getOrDefault(to, new ArrayDeque<>());
                    Bound b = at.poll();
                    if (b == null) {
                        in(base, result::refused);
                        return;
                    }
                    at.add(b); // the next one goes to the next listener
                    if (!reaches(from, b.host) || !reaches(b.host, from) || !b.listener.hasRoom()) {
                        return;
                    }
                    End near = new End(this, from);
                    End far = new End(this, b.host);
                    End.join(near, far);
                    open.add(near);
                    open.add(far);
                    b.listener.accept(far);
                    in(
                            b.host.lateDial + delay(b.host, from),
                            () -> {
                                if (!near.isClosed()) {
                                    result.up(near);
                                }
                            });
                });
    }

    void closed(End end) {
        open.remove(end);
    }

    /** All connections of a host break, as when its process dies. */
    void breakAll(Host host) {
        for (End end : new ArrayList<>(open)) {
            if (end.host() == host) {
                end.breakOff();
            }
        }
    }

    /** Connections of a host that its process has not closed. */
    List<End> openOf(Host host) {
        return open.stream().filter(e -> e.host() == host).toList();
    }
}
