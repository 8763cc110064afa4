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
 * Admin endpoint for operators, which serves one command per connection. It runs on the event loop
 * of its transport. A dedicated event loop is preferable, so that the endpoint responds while the
 * balancer is busy. The number of connections is bounded so that clients can't exhaust file
 * descriptors. {@link #close} releases the listener and all connections.
 */
public final class AdminServer implements AutoCloseable {
    /** Maximum number of open connections; a further one closes the oldest. */
    public static final int MAX_CONNECTIONS = 16;

    private final ProcessMetrics metrics;
    private final Supplier<String> notReadyReason;

    /** Open connections, the oldest first. */
    private final Set<AdminConnectionHandler> connections = new LinkedHashSet<>();

    private final Channel listener;

    /**
     * Starts to listen at an address. Blocks until the address is bound or binding has failed, so
     * it must not be called on the event loop.
     *
     * @param notReadyReason supplies the reason why the process is not ready to serve, or an empty
     *     string if it is ready; called on the event loop
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
                .channelFactory(transport::newExclusiveListener)
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

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Closes the listener and, on the event loop, all connections; thread-safe. */
    @Override
    public void close() {
        listener.close();
        listener.eventLoop()
                .execute(() -> List.copyOf(connections).forEach(AdminConnectionHandler::close));
    }

    /** Adds a connection and closes the oldest if there are too many; for the event loop only. */
    void connectionOpened(AdminConnectionHandler connection) {
        connections.add(connection);
        if (connections.size() > MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
    }

    /** Removes a connection; for the event loop only. */
    void connectionClosed(AdminConnectionHandler connection) {
        connections.remove(connection);
    }

    /** Returns the complete response to a command; for the event loop only. */
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
