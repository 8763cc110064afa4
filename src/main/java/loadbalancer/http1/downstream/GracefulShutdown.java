package loadbalancer.http1.downstream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Promise;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.transport.ListeningChannel;

/**
 * Shuts down a {@link ClientServer} in phases: stops accepting, then stops keeping connections
 * alive, then gives every request in flight its final response, then closes what is left.
 * Meanwhile, a successor process that listens on the same address takes new clients; if it stops
 * listening, this process listens again. Used on the event loop only; docs/shutdown.md documents
 * the times.
 */
final class GracefulShutdown {
    private static final System.Logger LOG = System.getLogger(GracefulShutdown.class.getName());

    /** Interval at which connections without a request are retired. */
    private static final long RETIRE_INTERVAL_MILLIS = 1;

    /** Delay between attempts to reopen the listener. */
    private static final long LISTEN_RETRY_MILLIS = 50;

    /** The phases in their order; only {@link #advance} changes the phase, one at a time. */
    private enum Phase {
        /** No shutdown is in progress. */
        SERVING,
        /** New connections are still accepted, unless a successor listens. */
        ACCEPTING,
        /** The listener is closed; open connections are kept alive. */
        KEEPING_CONNECTIONS,
        /** Each connection ends after its next response; those without a request are retired. */
        RETIRING_CONNECTIONS,
        /** Every request in flight has its final response; later requests fail at once. */
        RESPONDED,
        /** The listener and all connections are closed. */
        CLOSED
    }

    private final ClientServer server;
    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final Promise<Void> done;
    private final List<ScheduledFuture<?>> timers = new ArrayList<>();
    private Phase phase = Phase.SERVING;

    /** Whether another process accepts clients on the same address. */
    private boolean successorListens;

    /** Whether the listener is being closed or reopened. */
    private boolean listenerChanging;

    GracefulShutdown(ClientServer server, EventLoop loop, RequestDispatcher dispatcher) {
        this.server = server;
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.done = loop.newPromise();
    }

    /** Begins the shutdown. If called again, the earlier time applies to each phase. */
    Promise<Void> begin(ShutdownTimes times) {
        advance(Phase.ACCEPTING);
        schedule(times.acceptMillis(), Phase.KEEPING_CONNECTIONS);
        schedule(times.keepMillis(), Phase.RETIRING_CONNECTIONS);
        schedule(times.lastResponseMillis(), Phase.RESPONDED);
        schedule(times.closeMillis(), Phase.CLOSED);
        return done;
    }

    private void schedule(long delayMillis, Phase next) {
        if (delayMillis <= 0) {
            advance(next);
        } else {
            timers.add(loop.schedule(() -> advance(next), delayMillis, TimeUnit.MILLISECONDS));
        }
    }

    /** Enters each phase up to the given one that has not been entered yet. */
    private void advance(Phase to) {
        while (phase.compareTo(to) < 0) {
            phase = Phase.values()[phase.ordinal() + 1];
            switch (phase) {
                case RETIRING_CONNECTIONS -> retireNextConnection();
                case RESPONDED -> dispatcher.failAllInFlight();
                // Includes the listener, which may still be accepting its last clients.
                case CLOSED -> server.closeAll();
                default -> {}
            }
            updateListener();
        }
        finishIfEmpty();
    }

    /** Sets whether a successor listens; called repeatedly, since one may start or stop. */
    void setSuccessorListening(boolean isListening) {
        successorListens = isListening;
        updateListener();
    }

    /**
     * Whether each response is the last one on its connection. Before the phase that retires
     * connections, this is the case only if a successor listens.
     */
    boolean isRetiringConnections() {
        return phase.compareTo(Phase.RETIRING_CONNECTIONS) >= 0
                // Only after the listener is closed: until then, a client's new connection could
                // still arrive at it.
                || phase != Phase.SERVING
                        && successorListens
                        && !listenerChanging
                        && !server.isListening();
    }

    boolean isUnderWay() {
        return phase != Phase.SERVING && !done.isDone();
    }

    /** Opens or closes the listener: clients are accepted here unless a successor accepts them. */
    private void updateListener() {
        boolean wanted = phase == Phase.SERVING || phase == Phase.ACCEPTING && !successorListens;
        if (listenerChanging || wanted == server.isListening()) {
            return;
        }
        listenerChanging = true;
        if (wanted) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "the successor process no longer listens; reopening the listener");
            server.reopenListener()
                    .addListener(
                            future -> {
                                if (future.isSuccess()) {
                                    listenerChanged();
                                } else {
                                    loop.schedule(
                                            this::listenerChanged,
                                            LISTEN_RETRY_MILLIS,
                                            TimeUnit.MILLISECONDS);
                                }
                            });
        } else {
            ListeningChannel listener = server.listener();
            listener.closeFuture().addListener(future -> listenerChanged());
            listener.closeAfterBacklog(server::adopt);
        }
    }

    private void listenerChanged() {
        listenerChanging = false;
        updateListener();
        finishIfEmpty();
    }

    /**
     * Retires one connection without a request at a time, so that the event loop reads the others
     * in between. If all were retired in one iteration, requests that arrive during it would be
     * lost.
     */
    private void retireNextConnection() {
        if (phase == Phase.RESPONDED) {
            server.rejectPartialRequests();
        }
        if (phase != Phase.CLOSED) {
            server.connectionsWithoutRequest().findFirst().ifPresent(ClientConnection::retire);
            loop.schedule(
                    this::retireNextConnection, RETIRE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Completes the shutdown if neither the listener nor a connection is left. */
    void finishIfEmpty() {
        if (phase != Phase.SERVING
                && !listenerChanging
                && !server.isListening()
                && server.isEmpty()) {
            phase = Phase.CLOSED;
            timers.forEach(timer -> timer.cancel(false));
            done.trySuccess(null);
        }
    }
}
