package loadbalancer.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.transport.ListenerOpening;
import loadbalancer.transport.Transport;

/**
 * The operators' admin endpoint: one command for each connection. It runs on its transport's event
 * loop, best one of its own so that a busy balancer still responds, and bounds its connections so
 * that clients can't use up descriptors. {@link #close} releases the listener and all connections.
 */
public final class AdminServer implements AutoCloseable {
    /** Open connections at most; one more closes the oldest of them. */
    public static final int MAX_CONNECTIONS = 16;

    private final ProcessMetrics metrics;
    private final Supplier<String> notReadyReason;

    /** The oldest first. */
    private final Set<AdminConnectionHandler> connections = new LinkedHashSet<>();

    private final Channel listener;

    /**
     * Listens at an address; blocks until that has succeeded or failed, so never call it on the
     * event loop.
     *
     * @param notReadyReason why the process is not ready to serve; an empty text once it is. Asked
     *     on the event loop
     * @throws IOException if the address can't be bound
     */
    public AdminServer(
            Transport transport,
            SocketAddress address,
            ProcessMetrics metrics,
            Supplier<String> notReadyReason)
            throws IOException {
        this.metrics = metrics;
        this.notReadyReason = notReadyReason;
        listener =
                ListenerOpening.open(transport, () -> bind(transport, address), () -> false)
                        .syncUninterruptibly()
                        .getNow();
    }

    private ChannelFuture bind(Transport transport, SocketAddress address) {
        return new ServerBootstrap()
                .group(transport.loop())
                .channelFactory(transport::listeningAlone)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new AdminConnectionHandler(
                                                        AdminServer.this, channel));
                            }
                        })
                .bind(address);
    }

    /** The bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Closes the listener and, on the event loop, all connections; any thread may call. */
    @Override
    public void close() {
        listener.close();
        listener.eventLoop()
                .execute(() -> List.copyOf(connections).forEach(AdminConnectionHandler::close));
    }

    /** Counts a connection and closes the oldest one above the limit; for the event loop. */
    void connectionOpened(AdminConnectionHandler connection) {
        connections.add(connection);
        if (connections.size() > MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
    }

    /** Forgets a connection; for the event loop. */
    void connectionClosed(AdminConnectionHandler connection) {
        connections.remove(connection);
    }

    /** The whole response to a command line, with its line end; for the event loop. */
    String response(String command) {
        return switch (command) {
            case AdminProtocol.READY_COMMAND -> readiness();
            case AdminProtocol.STATS_COMMAND ->
                    AdminProtocol.SUCCESS
                            + "\n"
                            + metrics.render()
                            + AdminProtocol.END_OF_RESPONSE
                            + "\n";
            default -> AdminProtocol.failure("unknown call");
        };
    }

    private String readiness() {
        String reason = notReadyReason.get();
        return reason.isEmpty() ? AdminProtocol.success("ready") : AdminProtocol.failure(reason);
    }
}
