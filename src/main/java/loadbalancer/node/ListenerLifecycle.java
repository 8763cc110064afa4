package loadbalancer.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.util.concurrent.TimeUnit;
import loadbalancer.http1.downstream.ClientServer;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.transport.Transport;

/**
 * Binds the clients' listener, and shuts it down gracefully. {@link #start} and {@link #stop} may
 * be called from any thread; all else is on the loop. Times come from the transport's monotonic
 * clock.
 */
final class ListenerLifecycle {
    /** Named after the node, so that log levels set for it hold. */
    private static final System.Logger LOG = System.getLogger(Node.class.getName());

    /** How often a replacing process checks whether it may bind. */
    private static final long BIND_POLL_MILLIS = 100;

    /** Whether clients can connect; {@link #start} and {@link #stop} lead on. */
    private enum Phase {
        CLOSED,
        BINDING,
        OPEN,
        STOPPING
    }

    private final Transport transport;
    private final EventLoop loop;
    private final ProcessMetrics metrics;
    private final SiblingProcess sibling;
    private final SiblingMonitor siblingMonitor;
    private final CurrentConfig currentConfig;
    private final RequestDispatcher dispatcher;
    private final StatePersistence persistence;
    private final ClientServer server;

    private Phase phase = Phase.CLOSED;
    private Promise<Void> bound;

    /** Null before the first {@link #stop}; created under this object's monitor. */
    private Promise<Void> stopped;

    private long stopRequestedAtNanos;

    ListenerLifecycle(
            NodeDependencies dependencies,
            NodeComponents components,
            SiblingProcess sibling,
            SiblingMonitor siblingMonitor,
            CurrentConfig currentConfig) {
        this.transport = dependencies.transport();
        this.loop = transport.loop();
        this.metrics = dependencies.metrics();
        this.sibling = sibling;
        this.siblingMonitor = siblingMonitor;
        this.currentConfig = currentConfig;
        this.dispatcher = components.dispatcher();
        this.persistence = components.persistence();
        this.server = components.server();
    }

    /**
     * Binds the listener; cancelled if a stop comes first. A process that replaces another waits
     * for the endpoint list: from the moment it listens the kernel gives it part of the new
     * connections, and the other process still serves them better. Once that one is stopping or
     * gone, it binds without a list.
     */
    Future<Void> start() {
        Promise<Void> done = loop.newPromise();
        loop.execute(() -> bindWhenReady(done));
        return done;
    }

    boolean isStopping() {
        return phase == Phase.STOPPING;
    }

    private void bindWhenReady(Promise<Void> done) {
        if (phase == Phase.STOPPING) {
            done.cancel(false);
            return;
        }
        if (sibling.isListening() && !dispatcher.isReady()) {
            loop.schedule(() -> bindWhenReady(done), BIND_POLL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        phase = Phase.BINDING;
        bound = done;
        server.bind(currentConfig.get().listen()).addListener(binding -> onBound(binding, done));
    }

    private void onBound(Future<?> binding, Promise<Void> done) {
        if (binding.isSuccess()) {
            phase = Phase.OPEN;
            sibling.setListening(true);
            done.setSuccess(null);
        } else {
            phase = Phase.CLOSED;
            // Fails with a CancellationException, too, if a stop came first.
            done.tryFailure(binding.cause());
        }
    }

    /**
     * Stops without losing a request; done once none is left. With a successor listening, new
     * connections are left to it; without one they are still accepted for a while. Any thread may
     * call it, and further calls return the same future. {@link ShutdownTimings} count from the
     * first call, however late the loop runs.
     */
    synchronized Future<Void> stop() {
        if (stopped == null) {
            stopped = loop.newPromise();
            server.reportStopping();
            long requestedAtNanos = transport.nanoTime();
            loop.execute(() -> stopFromPhase(requestedAtNanos));
        }
        return stopped;
    }

    private void stopFromPhase(long requestedAtNanos) {
        switch (phase) {
            case CLOSED -> {
                phase = Phase.STOPPING;
                stopped.setSuccess(null); // nothing was accepted
            }
            case BINDING ->
                    // Clients that have connected by then are served.
                    bound.addListener(binding -> stopFromPhase(requestedAtNanos));
            case OPEN -> stopServing(requestedAtNanos);
            default -> throw new IllegalStateException("stops twice");
        }
    }

    private void stopServing(long requestedAtNanos) {
        phase = Phase.STOPPING;
        stopRequestedAtNanos = requestedAtNanos;
        siblingMonitor.notifyLeadership(true);
        persistence.leaving();
        sibling.setListening(false);
        server.setSuccessorListening(sibling.isListening());
        LOG.log(
                System.Logger.Level.INFO,
                sibling.isListening() ? "hands over to a successor" : "has no successor");
        drain();
    }

    /** Applies changed settings to a shutdown in progress; nothing else depends on them here. */
    void updateShutdownTimings() {
        if (server.isShuttingDown()) {
            drain();
        }
    }

    /**
     * Uses the present settings, also for requests that arrived under longer deadlines: SIGKILL
     * does. If changed settings leave less time, the earlier times hold.
     */
    private void drain() {
        long elapsedMillis =
                TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - stopRequestedAtNanos);
        server.shutDownGracefully(
                        ShutdownTimings.of(currentConfig.get().facts().settings())
                                .after(elapsedMillis))
                .addListener(shutdown -> onDrained());
    }

    private void onDrained() {
        if (!stopped.isDone()) {
            dispatcher.reportUnanswered();
            LOG.log(
                    System.Logger.Level.INFO,
                    "rules broken since the start: " + metrics.violations().summary());
            stopped.trySuccess(null);
        }
    }
}
