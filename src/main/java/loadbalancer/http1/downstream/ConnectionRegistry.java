package loadbalancer.http1.downstream;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Registers all open client connections and groups them by activity, ordered by the time at which
 * they entered it, earliest first. Used on the event loop only.
 */
final class ConnectionRegistry {
    private final Set<ClientConnection> open = new HashSet<>();
    private final Map<ConnectionActivity, Set<ClientConnection>> byActivity =
            new EnumMap<>(ConnectionActivity.class);

    ConnectionRegistry() {
        for (ConnectionActivity activity : ConnectionActivity.values()) {
            byActivity.put(activity, new LinkedHashSet<>());
        }
    }

    void add(ClientConnection connection) {
        open.add(connection);
    }

    void remove(ClientConnection connection) {
        open.remove(connection);
    }

    int size() {
        return open.size();
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** Returns a snapshot of all open connections. */
    List<ClientConnection> all() {
        return List.copyOf(open);
    }

    /** Adds a connection to an activity, after all others that are in it. */
    void enter(ConnectionActivity activity, ClientConnection connection) {
        byActivity.get(activity).add(connection);
    }

    void leave(ConnectionActivity activity, ClientConnection connection) {
        byActivity.get(activity).remove(connection);
    }

    /** Returns the connections in an activity, the one that entered it first at the front. */
    Set<ClientConnection> in(ConnectionActivity activity) {
        return byActivity.get(activity);
    }

    /** Returns the connection that has been in an activity the longest; throws if there is none. */
    ClientConnection longestIn(ConnectionActivity activity) {
        return byActivity.get(activity).iterator().next();
    }

    /**
     * Returns whether any connection has been in an activity for longer than a time in
     * milliseconds.
     */
    boolean anyLongerThan(ConnectionActivity activity, long millis) {
        Set<ClientConnection> connections = byActivity.get(activity);
        return !connections.isEmpty() && connections.iterator().next().millisInActivity() > millis;
    }
}
