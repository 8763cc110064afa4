package loadbalancer.http1.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.transport.ListenerOpening;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * Answers the control calls of subscribers, other machines and operators, on the transport's loop.
 */
public final class ControlServer {
    /** Bounds what the system holds for a subscriber that reads slowly. */
    private static final int SEND_BUFFER_BYTES = 128 << 10;

    private static final long SWEEP_MILLIS = 500;

    private final Transport transport;
    private final ControlServerLimits limits;
    private final SubscriptionHandler subscriptions;
    private final ChangeHandler changes;
    private final StatusHandler status;
    private final Set<ControlConnection> connections = new HashSet<>();
    private int openChanges;
    private Channel listening;
    private ScheduledFuture<?> sweep;

    /** Not listening yet. */
    public ControlServer(
            Transport transport,
            ControlServerLimits limits,
            SubscriptionHandler subscriptions,
            ChangeHandler changes,
            StatusHandler status) {
        this.transport = transport;
        this.limits = limits;
        this.subscriptions = subscriptions;
        this.changes = changes;
        this.status = status;
    }

    /**
     * Listens, at the latest once the system has a socket; the future fails if the address can't be
     * had.
     */
    public Future<Channel> bind(InetSocketAddress address) {
        return ListenerOpening.open(transport, () -> bindOnce(address), () -> false);
    }

    private ChannelFuture bindOnce(InetSocketAddress address) {
        ChannelFuture binding =
                new ServerBootstrap()
                        .group(transport.loop())
                        .channelFactory(transport::listeningAlone)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        prepare(channel);
                                    }
                                })
                        .bind(address);
        binding.addListener(
                f -> {
                    if (f.isSuccess()) {
                        listening = binding.channel();
                        sweep =
                                RepeatingTask.every(
                                        transport.loop(),
                                        SWEEP_MILLIS,
                                        "closing idle callers",
                                        this::sweep);
                    }
                });
        return binding;
    }

    /** Where callers find it, once it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Listens no more and ends all connections, on the loop. */
    public void close() {
        if (listening != null) {
            sweep.cancel(false);
            listening.close();
        }
        List.copyOf(connections).forEach(ControlConnection::close);
    }

    private void prepare(Channel channel) {
        if (channel.config() instanceof SocketChannelConfig socket) {
            socket.setTcpNoDelay(true).setSendBufferSize(SEND_BUFFER_BYTES);
        }
        channel.config().setWriteBufferWaterMark(Transport.WATER_MARK);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(ControlProtocol.decoderConfig()),
                        new ControlConnection(this, channel));
    }

    private void sweep() {
        List.copyOf(connections).forEach(ControlConnection::endIfOverdue);
    }

    // ---- What connections need
    // -------------------------------------------------------------------------

    void opened(ControlConnection connection) {
        connections.add(connection);
        acceptWhileThereIsRoom();
    }

    void closed(ControlConnection connection) {
        connections.remove(connection);
        acceptWhileThereIsRoom();
    }

    private void acceptWhileThereIsRoom() {
        listening.config().setAutoRead(connections.size() < limits.maxConnections());
    }

    /** Takes one of the places for open changes; false if there is none. */
    boolean takeChangePlace() {
        if (openChanges == limits.maxOpenChanges()) {
            return false;
        }
        openChanges++;
        return true;
    }

    void releaseChangePlace() {
        openChanges--;
    }

    ControlServerLimits limits() {
        return limits;
    }

    Transport transport() {
        return transport;
    }

    SubscriptionHandler subscriptions() {
        return subscriptions;
    }

    ChangeHandler changes() {
        return changes;
    }

    StatusHandler status() {
        return status;
    }
}
