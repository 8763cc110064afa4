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
 * The HTTP server of a control machine: subscribers, other machines and operators make their calls
 * here. For the thread of the transport's loop, unless a method says otherwise.
 */
public final class ControlServer {
    /** Bounds what the kernel buffers for a slow subscriber. */
    private static final int SEND_BUFFER_BYTES = 128 << 10;

    private static final long TIMEOUT_CHECK_MILLIS = 500;

    private final Transport transport;
    private final ControlServerLimits limits;
    private final SubscriptionHandler subscriptions;
    private final ControlCallDispatcher calls;
    private final Set<ControlConnection> connections = new HashSet<>();
    private int openChanges;
    private Channel listening;
    private ScheduledFuture<?> timeoutCheck;

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
        this.calls = new ControlCallDispatcher(subscriptions, changes, status);
    }

    /**
     * Listens, at the latest once the system has a socket; the future fails if the address can't be
     * bound. From any thread.
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
                bound -> {
                    if (bound.isSuccess()) {
                        listening = binding.channel();
                        timeoutCheck =
                                RepeatingTask.every(
                                        transport.loop(),
                                        TIMEOUT_CHECK_MILLIS,
                                        "closing idle callers",
                                        this::closeOverdue);
                    }
                });
        return binding;
    }

    /** The address it listens at, once it does. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Stops listening and closes all connections. */
    public void close() {
        if (listening != null) {
            timeoutCheck.cancel(false);
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

    private void closeOverdue() {
        List.copyOf(connections).forEach(ControlConnection::endIfOverdue);
    }

    // ---- What connections need ----

    void opened(ControlConnection connection) {
        connections.add(connection);
        acceptWhileBelowLimit();
    }

    void closed(ControlConnection connection) {
        connections.remove(connection);
        acceptWhileBelowLimit();
    }

    private void acceptWhileBelowLimit() {
        listening.config().setAutoRead(connections.size() < limits.maxConnections());
    }

    /** Takes one of the permits for open changes; false if all are taken. */
    boolean acquireChangePermit() {
        if (openChanges == limits.maxOpenChanges()) {
            return false;
        }
        openChanges++;
        return true;
    }

    void releaseChangePermit() {
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

    ControlCallDispatcher calls() {
        return calls;
    }
}
