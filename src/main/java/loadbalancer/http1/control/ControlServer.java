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
import loadbalancer.http1.codec.LimitedHttpHeadersFactory;
import loadbalancer.transport.ListenerOpening;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * The HTTP server that subscribers, other control servers and operators call. Used on the event
 * loop, unless a method states otherwise.
 */
public final class ControlServer {
    /** Limits how much the kernel buffers for a slow subscriber. */
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

    /** Creates a server that does not listen yet. */
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
     * Starts listening; retries while the system has no socket for it. The future fails if the
     * address can't be bound. Callable from any thread.
     */
    public Future<Channel> bind(InetSocketAddress address) {
        return ListenerOpening.open(transport, () -> bindOnce(address), () -> false);
    }

    private ChannelFuture bindOnce(InetSocketAddress address) {
        ChannelFuture binding =
                new ServerBootstrap()
                        .group(transport.loop())
                        .channelFactory(transport::newExclusiveListener)
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
                                        "closing control connections that exceeded a time limit",
                                        this::endOverdue);
                    }
                });
        return binding;
    }

    /**
     * Returns the address on which the server listens; call it only after the bind has succeeded.
     */
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
        LimitedHttpHeadersFactory headers = new LimitedHttpHeadersFactory(transport.memoryQuota());
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(ControlProtocol.limitSizes(headers.decoderConfig())),
                        new ControlConnection(this, channel, headers));
    }

    private void endOverdue() {
        List.copyOf(connections).forEach(ControlConnection::endIfOverdue);
    }

    // ---- Used by connections ----

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

    /** Acquires a permit for an open change; returns false if the limit is reached. */
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
