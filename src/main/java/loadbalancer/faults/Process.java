package loadbalancer.faults;

import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.node.Config;
import loadbalancer.node.Node;
import loadbalancer.node.SiblingFiles;
import loadbalancer.node.SiblingProcess;
import loadbalancer.node.StateStorage;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.settings.InvalidInputException;

/** One process of the balancer: the real node on a virtual loop. */
final class Process {
    /** Those that go on for ever: sweeps, looks for a sibling, and the module's. */
    private static final int MOST_TIMERS = 12;

    final VirtualTransport transport;
    private final VirtualWorld world;
    private final Host host;
    private final ProcessMetrics figures = new ProcessMetrics();
    private final VirtualSiblingFiles files;
    private Node node;
    private Future<Void> listening;
    private Future<Void> stopped;
    private Runnable onListening;
    private boolean dead;

    /** Whether it told others that it lets clients in. */
    private boolean announced;

    private long stopAt;
    private boolean stoppedAlone;

    Process(VirtualWorld world, int number, long seed) {
        this.world = world;
        this.host = new Host("balancer" + number);
        this.files = new VirtualSiblingFiles(() -> world.siblingFiles(this));
        this.transport = new VirtualTransport(world.timeline, world.network, host, seed);
        if (world.descriptors > 0) {
            transport.descriptors(world.descriptors);
        }
    }

    void start() throws InvalidInputException, IOException {
        node =
                Node.create(
                        () -> Config.parse(world.configBytes()),
                        transport,
                        figures,
                        this::sibling,
                        world.disk == null
                                ? StateStorage.NONE
                                : new StateStorage(world.disk, transport.loop()),
                        this::module);
        listening = node.startListening();
        listening.addListener(
                f -> {
                    world.trace(host + " listens " + f.isSuccess());
                    if (onListening != null) {
                        onListening.run();
                    }
                });
    }

    /** The module, with an ear at what it gives up. */
    private LoadBalancer module(LoadBalancerSettings settings, long seed, LoadBalancerActions out) {
        return world.modules.create(settings, seed, new Ear(out));
    }

    private final class Ear extends ForwardingActions {
        Ear(LoadBalancerActions out) {
            super(out);
        }

        @Override
        public void reject(String id, long retryAfter) {
            world.oracle.gaveUp(id);
            super.reject(id, retryAfter);
        }

        @Override
        public void fail(String id) {
            world.oracle.gaveUp(id);
            super.fail(id);
        }
    }

    private SiblingProcess sibling(InetSocketAddress listen) {
        return new SiblingProcess() {
            @Override
            public boolean isRunning() {
                return world.hasSibling(Process.this);
            }

            @Override
            public boolean isListening() {
                return world.hasListeningSibling(Process.this);
            }

            @Override
            public void setListening(boolean does) {
                announced = does;
            }

            @Override
            public Optional<SiblingFiles> files() {
                return Optional.of(files);
            }

            @Override
            public void close() {}
        };
    }

    VirtualSiblingFiles files() {
        return files;
    }

    void whenListening(Runnable what) {
        if (listening.isDone()) {
            what.run();
        } else {
            onListening = what;
        }
    }

    boolean lives() {
        return !dead && (stopped == null || !stopped.isDone());
    }

    boolean listens() {
        return lives() && announced;
    }

    boolean is(Host which) {
        return host == which;
    }

    /** Microseconds since it was told to stop; -1 if it was not. */
    long stoppingFor() {
        return stopped == null ? -1 : world.timeline.micros() - stopAt;
    }

    /** Whether nobody was there to take over when it was told to stop. */
    boolean stoppedAlone() {
        return stoppedAlone;
    }

    boolean isStopping() {
        return stopped != null;
    }

    void reload() {
        if (lives()) {
            transport.loop().execute(node::reload);
        }
    }

    void stop() {
        if (!dead && stopped == null) {
            world.trace(host + " is told to stop");
            stopAt = world.timeline.micros();
            stoppedAlone = !world.hasSuccessor(this);
            stopped = node.stop();
            stopped.addListener(
                    f -> {
                        world.trace(host + " has stopped");
                    });
        }
    }

    /** SIGKILL: the system closes all that it had. */
    void kill() {
        dead = true;
        transport.virtualLoop().kill();
        world.network.breakAll(host);
        world.network.unlistenAll(host);
    }

    /** What must hold after every step. */
    void check(Oracle oracle) {
        if (!dead && figures.inProgress() < 0) {
            oracle.broken("figures", "in_progress below 0 at " + host);
        }
    }

    /** The sum of the figures whose lines begin and end so, as operators read them. */
    long figure(String prefix, String name) {
        return figures.render()
                .lines()
                .filter(l -> l.startsWith("app." + prefix) && l.contains(name + ":"))
                .mapToLong(l -> Long.parseLong(l.substring(l.indexOf(':') + 1, l.indexOf('|'))))
                .sum();
    }

    /** Nothing is left open, held or counted once it has ended. */
    void checkEnd(Oracle oracle) {
        if (dead) {
            return;
        }
        if (stopped == null || !stopped.isDone()) {
            oracle.broken("end", host + " did not end after it was told to");
            return;
        }
        if (figures.violations().total() != 0) {
            oracle.broken("violations", host + " counted " + figures.violations().summary());
        }
        if (figures.inProgress() != 0) {
            oracle.broken("figures", host + " ends with in_progress " + figures.inProgress());
        }
        List<End> open =
                world.network.openOf(host).stream()
                        .filter(e -> e.other().host() == world.clients)
                        .toList();
        if (!open.isEmpty()) {
            oracle.broken("end", host + " ends with " + open.size() + " clients' connections");
        }
        long others =
                world.network.openOf(host).stream()
                        .filter(
                                e ->
                                        e.other().host() != world.clients
                                                && e.other().host() != world.discovery.host)
                        .count();
        if (others > 0) {
            oracle.broken("leak", host + " ends with " + others + " connections to upstreams");
        }
        long held = transport.allocator().held();
        if (held != 0) {
            oracle.broken("leak", host + " ends with " + held + " bytes of buffers");
        }
        long reserved = transport.memoryQuota().reservedBytes();
        if (reserved != 0) {
            oracle.broken("leak", host + " ends with " + reserved + " bytes reserved for peers");
        }
        int timers = transport.virtualLoop().drainTimers();
        if (timers > MOST_TIMERS) {
            oracle.broken("leak", host + " ends with " + timers + " timers");
        }
    }
}
