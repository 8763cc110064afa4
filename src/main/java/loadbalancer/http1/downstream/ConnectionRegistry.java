package loadbalancer.http1.downstream;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All open client connections, and for each activity those that are in it, the longest first. Used
 * on the event loop only.
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

    /** All open connections at this moment. */
    List<ClientConnection> all() {
        return List.copyOf(open);
    }

    /** Moves a connection behind all others of an activity. */
    void enter(ConnectionActivity activity, ClientConnection connection) {
        byActivity.get(activity).add(connection);
    }

    void leave(ConnectionActivity activity, ClientConnection connection) {
        byActivity.get(activity).remove(connection);
    }

    /** The connections of an activity, the longest first. */
    Set<ClientConnection> in(ConnectionActivity activity) {
        return byActivity.get(activity);
    }

    /** The connection that has been in an activity for longest. Fails where there is none. */
    ClientConnection oldest(ConnectionActivity activity) {
        return byActivity.get(activity).iterator().next();
    }

    /** Whether any connection has been in an activity for longer than that. */
    boolean anyLongerThan(ConnectionActivity activity, long millis) {
        Set<ClientConnection> connections = byActivity.get(activity);
        return !connections.isEmpty() && connections.iterator().next().millisInActivity() > millis;
    }
}
