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
 * Binds the listener for clients and shuts it down gracefully. {@link #start} and {@link #stop} may
 * be called from any thread, all other methods on the event loop. Times come from the transport's
 * monotonic clock.
 */
final class ListenerLifecycle {
    /** Named after {@link Node}, so that log levels configured for that class apply. */
    private static final System.Logger LOG = System.getLogger(Node.class.getName());

    /** Interval at which a process that replaces another checks whether it may bind. */
    private static final long BIND_POLL_MILLIS = 100;

    /** Phases of the listener, in order; {@link #start} and {@link #stop} cause the transitions. */
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
     * Binds the listener; the future is cancelled if a stop comes first. A process that replaces
     * another waits for the endpoint list before it binds: once it listens, the kernel gives it
     * part of the new connections, and without a list the other process serves them better. If the
     * other process is stopping or has ended, this one binds without a list.
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
            // The cause is a CancellationException if a stop came first.
            done.tryFailure(binding.cause());
        }
    }

    /**
     * Stops without losing a request; the future completes once no request is left. If a successor
     * listens, new connections go to it; otherwise this process accepts them for a while longer.
     * Thread-safe; further calls return the same future. The times of {@link ShutdownTimings} count
     * from the first call, even if the event loop runs late.
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
                stopped.setSuccess(null); // no client was accepted
            }
            case BINDING ->
                    // Clients that connect before the bind completes are served.
                    bound.addListener(binding -> stopFromPhase(requestedAtNanos));
            case OPEN -> stopServing(requestedAtNanos);
            default -> throw new IllegalStateException("stopped twice");
        }
    }

    private void stopServing(long requestedAtNanos) {
        phase = Phase.STOPPING;
        stopRequestedAtNanos = requestedAtNanos;
        runStopStep("ending the lead of this process", () -> siblingMonitor.notifyLeadership(true));
        runStopStep("storing the learnt state", persistence::stopping);
        runStopStep("leaving new connections to a successor", this::stopListeningBesideSuccessor);
        drain();
    }

    private void stopListeningBesideSuccessor() {
        sibling.setListening(false);
        server.setSuccessorListening(sibling.isListening());
        LOG.log(
                System.Logger.Level.INFO,
                sibling.isListening()
                        ? "stopping: a successor process takes new connections"
                        : "stopping: no successor process listens");
    }

    /** Runs a step on which the shutdown does not depend: if it fails, the stop goes on. */
    private static void runStopStep(String name, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a step of the stop failed; going on: " + name, e);
        }
    }

    /** Applies the times of changed settings to a shutdown in progress. */
    void updateShutdownTimings() {
        if (server.isShuttingDown()) {
            drain();
        }
    }

    /**
     * Shuts down by the times of the settings in force, also for requests that arrived under longer
     * deadlines, because SIGKILL follows those times, too. If changed settings leave less time, the
     * earlier times apply.
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
            runStopStep("reporting unanswered requests", this::reportEnd);
            stopped.trySuccess(null);
        }
    }

    private void reportEnd() {
        dispatcher.reportUnanswered();
        LOG.log(
                System.Logger.Level.INFO,
                "invariant violations since the start: " + metrics.violations().summary());
    }
}
