package loadbalancer.http1.control;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import loadbalancer.transport.Transport;

/**
 * Tells one kind of message on a connection that is kept alive. At most one is sent at a time, and
 * only the newest waits: each makes those before it worthless. One that is lost is not told again.
 */
final class NewestMessageSender {
    private static final long ANSWER_TIMEOUT_MILLIS = 2_000;

    private final Transport transport;
    private final String path;
    private RequestConnection connection;
    private Message waiting;

    private record Message(InetSocketAddress server, byte[] body) {}

    /** Posts to that path of whatever server is named with a message. */
    NewestMessageSender(Transport transport, String path) {
        this.transport = transport;
        this.path = path;
    }

    /** Tells a message, in place of one that waits. */
    void send(InetSocketAddress server, byte[] body) {
        waiting = new Message(server, body);
        if (connection == null || !connection.isBusy()) {
            sendWaiting();
        }
    }

    /** Ends the connection; what waits is not told. */
    void close() {
        waiting = null;
        if (connection != null) {
            connection.close();
        }
    }

    private void sendWaiting() {
        if (waiting == null) {
            return;
        }
        Message next = waiting;
        waiting = null;
        connectionTo(next.server())
                .send(HttpMethod.POST, path, next.body())
                .whenComplete((answer, failure) -> sendWaiting());
    }

    private RequestConnection connectionTo(InetSocketAddress server) {
        if (connection != null && !connection.server().equals(server)) {
            connection.close();
            connection = null;
        }
        if (connection == null) {
            connection = new RequestConnection(transport, server, ANSWER_TIMEOUT_MILLIS);
        }
        return connection;
    }
}
