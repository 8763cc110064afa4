package loadbalancer.http1.control;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import loadbalancer.transport.Transport;

/**
 * Sends one kind of message on a connection that is kept alive. At most one is in flight, and only
 * the newest waits, as each supersedes those before it. A lost message is not sent again. For the
 * loop's thread.
 */
final class NewestMessageSender {
    private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;

    private final Transport transport;
    private final String path;
    private RequestConnection connection;
    private Message waiting;

    private record Message(InetSocketAddress server, byte[] body) {}

    /** Posts to that path of the server that each message names. */
    NewestMessageSender(Transport transport, String path) {
        this.transport = transport;
        this.path = path;
    }

    /** Sends a message, in place of one that waits. */
    void send(InetSocketAddress server, byte[] body) {
        waiting = new Message(server, body);
        if (connection == null || !connection.isBusy()) {
            sendWaiting();
        }
    }

    /** Closes the connection; a message that waits is dropped. */
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
                .whenComplete((response, failure) -> sendWaiting());
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
