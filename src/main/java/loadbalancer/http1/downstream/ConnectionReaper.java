package loadbalancer.http1.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Ends client connections that last too long, and chooses which one gives way when all are taken.
 * Clients are judged by progress: honest ones may be slow, others stop half way. Used on the event
 * loop only.
 */
final class ConnectionReaper {
    /** Without a byte for so long, a connection that owes a request is ended. */
    private static final long REQUEST_TIMEOUT_MILLIS = 2_500;

    /** A head that makes progress may take so long... */
    private static final long HEAD_TIMEOUT_MILLIS = 6_000;

    /** ...if no pause within it is longer than this. */
    private static final long HEAD_PAUSE_MILLIS = 750;

    /** How long a connection is kept between two requests. */
    private static final long IDLE_TIMEOUT_MILLIS = 5_000;

    /** How long a client may read nothing of its response. */
    private static final long WRITE_TIMEOUT_MILLIS = 6_000;

    /** How long a client may take to close its side after ours. */
    private static final long LINGER_TIMEOUT_MILLIS = 2_000;

    /** From when on a connection of each kind gives way to a new one if all are taken. */
    private static final long YIELD_LINGERING_MILLIS = 100;

    private static final long YIELD_NEW_MILLIS = 250;
    private static final long YIELD_STALLED_HEAD_MILLIS = 1_000;
    private static final long YIELD_IDLE_MILLIS = 2_000;

    private final ConnectionRegistry connections;

    ConnectionReaper(ConnectionRegistry connections) {
        this.connections = connections;
    }

    /** Ends every connection that is over its time limit. */
    void endExpired() {
        List.copyOf(connections.in(ConnectionActivity.AWAITING_REQUEST))
                .forEach(ConnectionReaper::endIfStalled);
        while (connections.anyLongerThan(ConnectionActivity.IDLE, IDLE_TIMEOUT_MILLIS)) {
            connections.oldest(ConnectionActivity.IDLE).retire();
        }
        while (connections.anyLongerThan(ConnectionActivity.LINGERING, LINGER_TIMEOUT_MILLIS)) {
            connections.oldest(ConnectionActivity.LINGERING).close();
        }
        while (connections.anyLongerThan(
                ConnectionActivity.AWAITING_CLIENT_READ, WRITE_TIMEOUT_MILLIS)) {
            connections.oldest(ConnectionActivity.AWAITING_CLIENT_READ).close();
        }
    }

    /** Ends connections until there are fewer than the limit, or none that may give way is left. */
    void makeRoom(int maxConnections) {
        while (connections.size() >= maxConnections) {
            if (connections.anyLongerThan(ConnectionActivity.LINGERING, YIELD_LINGERING_MILLIS)) {
                connections.oldest(ConnectionActivity.LINGERING).close();
                continue;
            }
            Optional<ClientConnection> yielding = firstToYield();
            if (yielding.isEmpty()) {
                return;
            }
            yielding.get().makeWay();
        }
    }

    private Optional<ClientConnection> firstToYield() {
        Set<ClientConnection> awaitingRequest = connections.in(ConnectionActivity.AWAITING_REQUEST);
        return awaitingRequest.stream()
                .filter(c -> c.isNew() && c.millisInActivity() > YIELD_NEW_MILLIS)
                .findFirst()
                .or(
                        () ->
                                awaitingRequest.stream()
                                        .filter(ConnectionReaper::isHeadStalled)
                                        .findFirst())
                .or(this::longIdle);
    }

    private static boolean isHeadStalled(ClientConnection connection) {
        return connection.awaitsHead() && connection.quietMillis() > YIELD_STALLED_HEAD_MILLIS;
    }

    private Optional<ClientConnection> longIdle() {
        return connections.in(ConnectionActivity.IDLE).stream()
                .findFirst()
                .filter(c -> c.millisInActivity() > YIELD_IDLE_MILLIS);
    }

    private static void endIfStalled(ClientConnection connection) {
        if (!isStalled(connection)) {
            return;
        }
        connection.readNow(); // the loop may be behind, and the bytes there
        if (isStalled(connection)) {
            connection.reject(HttpResponseStatus.REQUEST_TIMEOUT, "no request");
        }
    }

    private static boolean isStalled(ClientConnection connection) {
        if (!connection.awaitsHead()) {
            return connection.quietMillis() > REQUEST_TIMEOUT_MILLIS;
        }
        boolean paused =
                connection.quietMillis() > HEAD_PAUSE_MILLIS
                        && connection.millisInActivity() > REQUEST_TIMEOUT_MILLIS;
        return paused || connection.millisInActivity() > HEAD_TIMEOUT_MILLIS;
    }
}
