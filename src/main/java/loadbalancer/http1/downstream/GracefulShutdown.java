package loadbalancer.http1.downstream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Promise;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.transport.ListeningAddress;

/**
 * The graceful shutdown of the side towards clients, phase by phase: no connection is accepted any
 * more, then none is kept, then every request in flight gets its final response, then the rest is
 * closed. A successor process that listens at the same address takes the clients meanwhile; if it
 * ends, this process listens again. Used on the event loop only; docs/shutdown.md has the times.
 */
final class GracefulShutdown {
    private static final System.Logger LOG = System.getLogger(GracefulShutdown.class.getName());

    /** Time between two resting connections that are ended. */
    private static final long RETIRE_INTERVAL_MILLIS = 1;

    /** Pause before another attempt to listen again. */
    private static final long LISTEN_RETRY_MILLIS = 50;

    /** {@link #advance} is the only transition: one phase at a time and never back. */
    private enum Phase {
        /** No shutdown has begun. */
        SERVING,
        /** Clients still connect, unless a successor listens. */
        ACCEPTING,
        /** The listener is closed; connections are kept. */
        KEEPING_CONNECTIONS,
        /** Each response is the last one on its connection; resting ones are ended. */
        RETIRING_CONNECTIONS,
        /** Every request has its final response; later ones get theirs at once. */
        RESPONDED,
        /** Everything is closed. */
        CLOSED
    }

    private final ClientServer server;
    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final Promise<Void> done;
    private final List<ScheduledFuture<?>> timers = new ArrayList<>();
    private Phase phase = Phase.SERVING;

    /** Whether another process accepts clients at the same address. */
    private boolean successorListens;

    /** While the listener is being closed or opened again. */
    private boolean movingListener;

    GracefulShutdown(ClientServer server, EventLoop loop, RequestDispatcher dispatcher) {
        this.server = server;
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.done = loop.newPromise();
    }

    /** Begins. Called again, the sooner of two times holds for each phase. */
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

    /** Enters each phase up to the given one that was not entered yet. */
    private void advance(Phase to) {
        while (phase.compareTo(to) < 0) {
            phase = Phase.values()[phase.ordinal() + 1];
            switch (phase) {
                case RETIRING_CONNECTIONS -> retireResting();
                case RESPONDED -> dispatcher.failAllInFlight();
                // With the listener, which may still wait for its last clients.
                case CLOSED -> server.closeAll();
                default -> {}
            }
            updateListener();
        }
        finishIfEmpty();
    }

    /** Whether a successor listens; called repeatedly, since one may start or end. */
    void setSuccessorListening(boolean listens) {
        successorListens = listens;
        updateListener();
    }

    /**
     * Whether each response is the last one on its connection. Before connections are retired that
     * is so only with a successor.
     */
    boolean isLeaving() {
        return phase.compareTo(Phase.RETIRING_CONNECTIONS) >= 0
                // Only behind the close: a new connection must not meet the closing listener.
                || phase != Phase.SERVING
                        && successorListens
                        && !movingListener
                        && !server.listens();
    }

    boolean isUnderWay() {
        return phase != Phase.SERVING && !done.isDone();
    }

    /** Opens or closes the listener: clients are accepted as long as nobody else accepts them. */
    private void updateListener() {
        boolean wanted = phase == Phase.SERVING || phase == Phase.ACCEPTING && !successorListens;
        if (movingListener || wanted == server.listens()) {
            return;
        }
        movingListener = true;
        if (wanted) {
            LOG.log(System.Logger.Level.WARNING, "the successor is gone: lets clients in again");
            server.listenAgain()
                    .addListener(
                            future -> {
                                if (future.isSuccess()) {
                                    listenerMoved();
                                } else {
                                    loop.schedule(
                                            this::listenerMoved,
                                            LISTEN_RETRY_MILLIS,
                                            TimeUnit.MILLISECONDS);
                                }
                            });
        } else {
            ListeningAddress listening = server.listening();
            listening.closeFuture().addListener(future -> listenerMoved());
            listening.closeAfterBacklog(server::take);
        }
    }

    private void listenerMoved() {
        movingListener = false;
        updateListener();
        finishIfEmpty();
    }

    /**
     * Ends one resting connection at a time, so that the loop reads in between. If all were ended
     * in one go, requests that arrive meanwhile would be lost with the last ones.
     */
    private void retireResting() {
        if (phase == Phase.RESPONDED) {
            server.rejectHalfReceived();
        }
        if (phase != Phase.CLOSED) {
            server.resting().findFirst().ifPresent(ClientConnection::retire);
            loop.schedule(this::retireResting, RETIRE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Completes the shutdown once no connection is left. */
    void finishIfEmpty() {
        if (phase != Phase.SERVING && !movingListener && !server.listens() && server.isEmpty()) {
            phase = Phase.CLOSED;
            timers.forEach(timer -> timer.cancel(false));
            done.trySuccess(null);
        }
    }
}
