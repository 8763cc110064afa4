package loadbalancer.http1.control;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import loadbalancer.transport.Transport;

/**
 * Sends messages of one kind on a connection that is kept alive. At most one message is in flight
 * and at most one is pending: a new message replaces the pending one, since each supersedes its
 * predecessors. A lost message is not sent again. Used on the event loop only.
 */
final class NewestMessageSender {
    private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;

    private final Transport transport;
    private final String path;
    private RequestConnection connection;
    private Message pending;

    private record Message(InetSocketAddress server, byte[] body) {}

    /** Creates a sender that posts to the given path of the server of each message. */
    NewestMessageSender(Transport transport, String path) {
        this.transport = transport;
        this.path = path;
    }

    /** Sends a message; it replaces the pending one. */
    void send(InetSocketAddress server, byte[] body) {
        pending = new Message(server, body);
        if (connection == null || !connection.isBusy()) {
            sendPending();
        }
    }

    /** Closes the connection and drops the pending message. */
    void close() {
        pending = null;
        if (connection != null) {
            connection.close();
        }
    }

    private void sendPending() {
        if (pending == null) {
            return;
        }
        Message next = pending;
        pending = null;
        connectionTo(next.server())
                .send(HttpMethod.POST, path, next.body())
                .whenComplete((response, failure) -> sendPending());
    }

    private RequestConnection connectionTo(InetSocketAddress server) {
        if (connection != null && !connection.server().equals(server)) {
            connection.close();
            connection = null;
        }
        if (connection == null) {
            connection = new RequestConnection(transport, server, RESPONSE_TIMEOUT_MILLIS);
        }
        return connection;
    }
}
