package loadbalancer.faults.control;

import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.publish.SubscriberSink;

/**
 * One subscription call on a virtual connection: the client's events, and the sink of the server.
 */
final class VirtualSubscription implements SubscriberSink {
    private static final int REQUEST_BYTES = 300;

    /** What chunked coding adds to a line. */
    private static final int CHUNK_BYTES = 8;

    private final SimulationContext context;
    private final ControlServer server;
    private final ClientEvents events;
    private final StreamConnection connection;
    private boolean open = true;
    private ByteCounter sent;

    /** What the client hears of it. */
    interface ClientEvents {
        void line(byte[] line);

        void heartbeat();

        void ended(long retryAfterMillis, String reason);
    }

    VirtualSubscription(
            SimulationContext context,
            VirtualHost client,
            ControlServer server,
            ClientEvents events,
            long bytesPerSecond) {
        this.context = context;
        this.server = server;
        this.events = events;
        this.connection =
                new StreamConnection(
                        context.network(),
                        client,
                        server.host(),
                        this::endedAtClient,
                        reason -> endedAtServer());
        connection.toClient().limitRate(bytesPerSecond);
        connection.toClient().whenWritable(() -> server.host().run());
    }

    /** Sends the request; a dead server's host refuses the connection. */
    void open(SubscribeRequest request) {
        connection
                .toServer()
                .send(
                        REQUEST_BYTES,
                        () -> {
                            if (server.host().isAlive()) {
                                server.subscribe(this, request);
                            } else {
                                connection.toClient().reset("connection refused");
                            }
                        });
    }

    /** Counts what the server sends from now on. */
    void countBytes(ByteCounter counter) {
        sent = counter;
    }

    void pauseReading(boolean pause) {
        connection.toClient().pauseReading(pause);
    }

    void limitRate(long bytesPerSecond) {
        connection.toClient().limitRate(bytesPerSecond);
    }

    /** The client wants nothing more of it. */
    void closeByClient() {
        if (open) {
            open = false;
            connection.closeByClient();
        }
    }

    /** The server defers the client. */
    void defer(long retryAfterMillis, String reason) {
        connection.toClient().send(REQUEST_BYTES, () -> endAtClient(retryAfterMillis, reason));
    }

    private void endedAtClient(String reason) {
        endAtClient(0, reason);
    }

    private void endAtClient(long retryAfterMillis, String reason) {
        if (open) {
            open = false;
            connection.closeByClient();
            events.ended(retryAfterMillis, reason);
        }
    }

    private void endedAtServer() {
        if (server.host().isAlive()) {
            server.ended(this);
        }
    }

    @Override
    public boolean isWritable() {
        return connection.toClient().isWritable();
    }

    @Override
    public void send(byte[] line) {
        byte[] copy = line.clone();
        count(copy.length);
        connection
                .toClient()
                .send(
                        copy.length + CHUNK_BYTES,
                        () -> {
                            if (open) {
                                events.line(copy);
                            }
                        });
    }

    @Override
    public void heartbeat() {
        connection
                .toClient()
                .send(
                        CHUNK_BYTES,
                        () -> {
                            if (open) {
                                events.heartbeat();
                            }
                        });
    }

    private void count(int bytes) {
        if (sent != null) {
            sent.add(context.now(), bytes);
        }
    }

    @Override
    public void close(String reason) {
        connection.closeByServer(reason);
    }
}
