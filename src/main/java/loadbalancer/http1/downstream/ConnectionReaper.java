package loadbalancer.http1.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Ends client connections that exceed a time limit, and selects which one to evict when the
 * connection limit is reached. Time limits depend on progress, since a legitimate client may be
 * slow while an abusive one stops in the middle of a request. Used on the event loop only.
 */
final class ConnectionReaper {
    /** Time without a received byte after which a connection that awaits a request is ended. */
    private static final long REQUEST_TIMEOUT_MILLIS = 2_500;

    /** Time limit for a head that is received without a pause over {@link #HEAD_PAUSE_MILLIS}. */
    private static final long HEAD_TIMEOUT_MILLIS = 6_000;

    /** The longest pause in a head that may take longer than {@link #REQUEST_TIMEOUT_MILLIS}. */
    private static final long HEAD_PAUSE_MILLIS = 750;

    /** How long an idle connection is kept alive between two requests. */
    private static final long IDLE_TIMEOUT_MILLIS = 5_000;

    /**
     * How long the kernel of a client may take nothing of a response. One whose receive buffer has
     * grown to several MiB announces room only once a sixteenth of it is free, for which a slow
     * reader takes many seconds.
     */
    private static final long WRITE_TIMEOUT_MILLIS = 60_000;

    /** How long a client may take to close its side after this side has shut down its output. */
    private static final long LINGER_TIMEOUT_MILLIS = 2_000;

    // Age from which a connection of each kind may be evicted for a new one at the limit.
    private static final long EVICT_LINGERING_MILLIS = 100;
    private static final long EVICT_NEW_MILLIS = 250;
    private static final long EVICT_STALLED_HEAD_MILLIS = 1_000;
    private static final long EVICT_IDLE_MILLIS = 2_000;
    private static final long EVICT_UNREAD_RESPONSE_MILLIS = 6_000;

    // Reasons for the log.
    private static final String NOT_CLOSED = "the client does not close its side";
    private static final String NOT_READ = "the client does not read its response";

    private final ConnectionRegistry connections;

    ConnectionReaper(ConnectionRegistry connections) {
        this.connections = connections;
    }

    /** Ends every connection that has exceeded its time limit. */
    void endExpired() {
        List.copyOf(connections.in(ConnectionActivity.AWAITING_REQUEST))
                .forEach(ConnectionReaper::rejectIfStalled);
        while (connections.anyLongerThan(ConnectionActivity.IDLE, IDLE_TIMEOUT_MILLIS)) {
            connections.longestIn(ConnectionActivity.IDLE).retire();
        }
        while (connections.anyLongerThan(ConnectionActivity.LINGERING, LINGER_TIMEOUT_MILLIS)) {
            connections.longestIn(ConnectionActivity.LINGERING).close(NOT_CLOSED);
        }
        while (connections.anyLongerThan(
                ConnectionActivity.AWAITING_CLIENT_READ, WRITE_TIMEOUT_MILLIS)) {
            connections.longestIn(ConnectionActivity.AWAITING_CLIENT_READ).close(NOT_READ);
        }
    }

    /** Closes all connections whose clients have not read for long, to free what they hold. */
    void closeUnread() {
        while (closeLongestUnread()) {
            continue;
        }
    }

    /** Evicts connections until there are fewer than the limit or none may be evicted. */
    void evictToLimit(int maxConnections) {
        while (connections.size() >= maxConnections) {
            if (connections.anyLongerThan(ConnectionActivity.LINGERING, EVICT_LINGERING_MILLIS)) {
                connections.longestIn(ConnectionActivity.LINGERING).close(NOT_CLOSED);
                continue;
            }
            Optional<ClientConnection> candidate = evictionCandidate();
            if (candidate.isPresent()) {
                candidate.get().evict();
            } else if (!closeLongestUnread()) {
                return;
            }
        }
    }

    private Optional<ClientConnection> evictionCandidate() {
        Set<ClientConnection> awaitingRequest = connections.in(ConnectionActivity.AWAITING_REQUEST);
        return awaitingRequest.stream()
                .filter(c -> c.isNew() && c.millisInActivity() > EVICT_NEW_MILLIS)
                .findFirst()
                .or(
                        () ->
                                awaitingRequest.stream()
                                        .filter(ConnectionReaper::isHeadStalled)
                                        .findFirst())
                .or(this::longestIdle);
    }

    /** Closes the connection whose client has not read its response for the longest time. */
    private boolean closeLongestUnread() {
        if (!connections.anyLongerThan(
                ConnectionActivity.AWAITING_CLIENT_READ, EVICT_UNREAD_RESPONSE_MILLIS)) {
            return false;
        }
        connections.longestIn(ConnectionActivity.AWAITING_CLIENT_READ).close(NOT_READ);
        return true;
    }

    private static boolean isHeadStalled(ClientConnection connection) {
        return connection.isAwaitingHead()
                && connection.receiveIdleMillis() > EVICT_STALLED_HEAD_MILLIS;
    }

    private Optional<ClientConnection> longestIdle() {
        return connections.in(ConnectionActivity.IDLE).stream()
                .findFirst()
                .filter(c -> c.millisInActivity() > EVICT_IDLE_MILLIS);
    }

    private static void rejectIfStalled(ClientConnection connection) {
        if (!isStalled(connection)) {
            return;
        }
        connection.readNow(); // bytes may have arrived since the event loop last polled
        if (isStalled(connection)) {
            connection.reject(HttpResponseStatus.REQUEST_TIMEOUT, "no request");
        }
    }

    private static boolean isStalled(ClientConnection connection) {
        if (!connection.isAwaitingHead()) {
            return connection.receiveIdleMillis() > REQUEST_TIMEOUT_MILLIS;
        }
        boolean paused =
                connection.receiveIdleMillis() > HEAD_PAUSE_MILLIS
                        && connection.millisInActivity() > REQUEST_TIMEOUT_MILLIS;
        return paused || connection.millisInActivity() > HEAD_TIMEOUT_MILLIS;
    }
}
