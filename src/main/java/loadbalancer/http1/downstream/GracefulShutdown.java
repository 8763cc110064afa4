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
 * The end of the side towards clients, phase by phase: nobody is let in any more, then no
 * connection is kept, then all get their last answers, then the rest is closed. A successor that
 * listens at the same address has the clients meanwhile; if it goes, they come here again.
 */
final class GracefulShutdown {
    private static final System.Logger LOG = System.getLogger(GracefulShutdown.class.getName());

    /** Resting connections are ended one by one, this far apart. */
    private static final long BETWEEN_ENDS_MS = 1;

    /** So long after a failure to take the address back it is tried again. */
    private static final long LISTEN_AGAIN_MS = 50;

    /** Only {@link #advance} leads on, one step at a time and never back. */
    private enum Phase {
        SERVING,
        ACCEPTING,
        KEEPING,
        ENDING,
        ANSWERED,
        CLOSED
    }

    private final ClientServer server;
    private final EventLoop loop;
    private final RequestDispatcher driver;
    private final Promise<Void> done;
    private final List<ScheduledFuture<?>> steps = new ArrayList<>();
    private Phase phase = Phase.SERVING;

    /** Whether another process lets clients in at the same address. */
    private boolean successor;

    /** While the address is given up or taken back. */
    private boolean moving;

    GracefulShutdown(ClientServer server, EventLoop loop, RequestDispatcher driver) {
        this.server = server;
        this.loop = loop;
        this.driver = driver;
        this.done = loop.newPromise();
    }

    /** Begins, or is told of sooner times: of two for a phase the sooner holds. On the loop. */
    Promise<Void> by(ShutdownTimes times) {
        advance(Phase.ACCEPTING);
        at(times.acceptMs(), Phase.KEEPING);
        at(times.keepMs(), Phase.ENDING);
        at(times.lastAnswerMs(), Phase.ANSWERED);
        at(times.closeMs(), Phase.CLOSED);
        return done;
    }

    private void at(long ms, Phase next) {
        if (ms <= 0) {
            advance(next);
        } else {
            steps.add(loop.schedule(() -> advance(next), ms, TimeUnit.MILLISECONDS));
        }
    }

    /** Takes each step up to that phase which was not taken yet. */
    private void advance(Phase to) {
        while (phase.compareTo(to) < 0) {
            phase = Phase.values()[phase.ordinal() + 1];
            switch (phase) {
                case ENDING -> endResting();
                case ANSWERED -> driver.failAll();
                case CLOSED ->
                        server.closeAll(); // the listener, too: it may wait for its last clients
                // still
                default -> {}
            }
            settle();
        }
        finishIfEmpty();
    }

    /** Whether a successor listens; told again and again, since one may come or go. */
    void successor(boolean listens) {
        successor = listens;
        settle();
    }

    /**
     * Whether each answer is the last on its connection: before the end only with another place to
     * go.
     */
    boolean isLeaving() {
        return phase.compareTo(Phase.ENDING) >= 0
                // Only then: those who connect anew must not meet the listener that is about to
                // close.
                || phase != Phase.SERVING && successor && !moving && !server.listens();
    }

    boolean isUnderWay() {
        return phase != Phase.SERVING && !done.isDone();
    }

    /**
     * Lets clients in as long as they have no other place to go to, and no longer than new ones
     * come.
     */
    private void settle() {
        boolean wanted = phase == Phase.SERVING || phase == Phase.ACCEPTING && !successor;
        if (moving || wanted == server.listens()) {
            return;
        }
        moving = true;
        if (wanted) {
            LOG.log(System.Logger.Level.WARNING, "the successor is gone: lets clients in again");
            server.listenAgain()
                    .addListener(
                            f -> {
                                if (f.isSuccess()) {
                                    moved();
                                } else {
                                    loop.schedule(
                                            this::moved, LISTEN_AGAIN_MS, TimeUnit.MILLISECONDS);
                                }
                            });
        } else {
            ListeningAddress listening = server.listening();
            listening.closeFuture().addListener(f -> moved());
            listening.closeBehindTheLast(server::take);
        }
    }

    private void moved() {
        moving = false;
        settle();
        finishIfEmpty();
    }

    /**
     * Ends one resting connection at a time: between two the loop reads what came. All in one go,
     * requests that came while the first ones were being ended would be lost with the last ones.
     */
    private void endResting() {
        if (phase == Phase.ANSWERED) {
            server.rejectHalfReceived();
        }
        if (phase != Phase.CLOSED) {
            server.resting().findFirst().ifPresent(ClientConnection::retire);
            loop.schedule(this::endResting, BETWEEN_ENDS_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The end, once no connection is left. */
    void finishIfEmpty() {
        if (phase != Phase.SERVING && !moving && !server.listens() && server.isEmpty()) {
            phase = Phase.CLOSED;
            steps.forEach(step -> step.cancel(false));
            done.trySuccess(null);
        }
    }
}
