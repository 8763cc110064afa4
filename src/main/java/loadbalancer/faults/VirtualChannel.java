package loadbalancer.faults;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.transport.InboundSide;

/** A connection of the balancer over the virtual network, for Netty. */
final class VirtualChannel extends AbstractChannel
        implements DuplexChannel, InboundSide, End.Owner {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false);
    private static final int READ = 16 * 1024;

    private final VirtualTransport transport;
    private final ChannelConfig config;
    private End end;
    private InetSocketAddress remote;
    private boolean closed;
    private boolean readPending;
    private boolean delivering;
    private boolean outputShut;
    private boolean streamEnded;

    VirtualChannel(VirtualTransport transport, Channel parent, End end) {
        super(parent);
        this.transport = transport;
        this.end = end;
        this.config = new Options(this, transport);
        transport.opened();
        if (end != null) {
            end.owner(this);
        }
    }

    /** Takes what sockets have and this has no use for. */
    private static final class Options extends DefaultChannelConfig {
        Options(Channel channel, VirtualTransport transport) {
            super(channel);
            setAllocator(transport.allocator());
        }

        @Override
        public <T> boolean setOption(ChannelOption<T> option, T value) {
            super.setOption(option, value);
            return true;
        }
    }

    // ---- From the network
    // ----------------------------------------------------------------------------

    @Override
    public void readable() {
        deliverLater();
    }

    @Override
    public void ended() {
        deliverLater();
    }

    @Override
    public void reset() {
        if (!closed && isRegistered()) {
            eventLoop()
                    .execute(
                            () -> {
                                if (!closed) {
                                    pipeline()
                                            .fireExceptionCaught(
                                                    new IOException("Connection reset by peer"));
                                    unsafe().close(voidPromise());
                                }
                            });
        }
    }

    @Override
    public void writable() {
        if (!closed && isRegistered()) {
            eventLoop().execute(() -> unsafe().flush());
        }
    }

    private void deliverLater() {
        if (!delivering && !closed && isRegistered()) {
            delivering = true;
            eventLoop().execute(this::deliver);
        }
    }

    /** Delivers at once what lies ready. */
    void readNow() {
        if (end != null && (end.hasBytes() || end.isFinished())) {
            deliver();
        }
    }

    private void deliver() {
        delivering = false;
        if (closed || !readPending || end == null) {
            return;
        }
        if (end.hasBytes()) {
            readPending = false;
            byte[] bytes = end.take(READ);
            ByteBuf buffer;
            try {
                buffer = config.getAllocator().buffer(bytes.length);
            } catch (OutOfMemoryError e) {
                pipeline().fireChannelReadComplete(); // as Netty does on sockets
                pipeline().fireExceptionCaught(e);
                unsafe().close(voidPromise());
                return;
            }
            buffer.writeBytes(bytes);
            pipeline().fireChannelRead(buffer);
            pipeline().fireChannelReadComplete();
            if (parent() != null && config.isAutoRead() && end.isFinished()) {
                streamEnded = true;
                unsafe().close(voidPromise()); // clients' sockets are read until there is no more
            }
        } else if (end.isFinished()) {
            streamEnded = true;
            unsafe().close(voidPromise());
        }
    }

    // ---- For Netty
    // -----------------------------------------------------------------------------------

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new Unsafe();
    }

    private final class Unsafe extends AbstractUnsafe {
        private ScheduledFuture<?> timeout;

        @Override
        public void connect(SocketAddress to, SocketAddress from, ChannelPromise promise) {
            if (!promise.setUncancellable() || !ensureOpen(promise)) {
                return;
            }
            remote = (InetSocketAddress) to;
            int most = config.getConnectTimeoutMillis();
            timeout =
                    eventLoop()
                            .schedule(
                                    () ->
                                            fail(
                                                    promise,
                                                    new ConnectTimeoutException(
                                                            "timed out: " + to)),
                                    most,
                                    TimeUnit.MILLISECONDS);
            transport
                    .network()
                    .connect(
                            transport.host(),
                            remote,
                            new VirtualNetwork.Connecting() {
                                @Override
                                public void up(End near) {
                                    eventLoop().execute(() -> connected(near, promise));
                                    if (eventLoop().isShutdown()) {
                                        near.breakOff();
                                    }
                                }

                                @Override
                                public void refused() {
                                    eventLoop()
                                            .execute(
                                                    () ->
                                                            fail(
                                                                    promise,
                                                                    new ConnectException(
                                                                            "refused: " + to)));
                                }
                            });
        }

        private void connected(End near, ChannelPromise promise) {
            timeout.cancel(false);
            if (closed || promise.isDone()) {
                near.close();
                return;
            }
            end = near;
            promise.trySuccess();
            pipeline().fireChannelActive();
            near.owner(VirtualChannel.this);
        }

        private void fail(ChannelPromise promise, Exception why) {
            timeout.cancel(false);
            if (!promise.isDone()) {
                promise.tryFailure(why);
                close(voidPromise());
            }
        }
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof VirtualLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return transport.address();
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return remote;
    }

    @Override
    protected void doBind(SocketAddress address) {}

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doClose() {
        if (!closed) {
            transport.closed();
        }
        closed = true;
        if (end != null) {
            end.close();
        }
    }

    @Override
    protected void doBeginRead() {
        readPending = true;
        if (end != null && (end.hasBytes() || end.isFinished())) {
            deliverLater();
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        for (Object message = out.current(); message != null; message = out.current()) {
            ByteBuf bytes = (ByteBuf) message;
            if (end.isClosed() || outputShut) {
                throw new ClosedChannelException();
            }
            if (end.meetsReset()) {
                reset();
            }
            int length = Math.min(bytes.readableBytes(), end.room());
            if (length > 0) {
                byte[] piece = new byte[length];
                bytes.getBytes(bytes.readerIndex(), piece);
                end.send(piece);
            } else if (bytes.isReadable()) {
                return; // goes on when the other end has read
            }
            out.removeBytes(length);
            if (length == 0) {
                out.remove();
            }
        }
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return !closed;
    }

    @Override
    public boolean isActive() {
        return !closed && end != null; // also when reset, until it has been told
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }

    @Override
    public boolean hasEnded() {
        return streamEnded;
    }

    @Override
    public boolean hasNothingToRead() {
        return !closed && !end.isClosed() && !end.hasBytes() && !end.isFinished();
    }

    // ---- Half closing
    // --------------------------------------------------------------------------------

    @Override
    public boolean isInputShutdown() {
        return closed;
    }

    @Override
    public ChannelFuture shutdownInput() {
        return newSucceededFuture();
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        return promise.setSuccess();
    }

    @Override
    public boolean isOutputShutdown() {
        return outputShut || closed;
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        outputShut = true;
        if (end != null) {
            end.shutdownOutput();
        }
        return promise.setSuccess();
    }

    @Override
    public boolean isShutdown() {
        return closed;
    }

    @Override
    public ChannelFuture shutdown() {
        return shutdownOutput();
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        return shutdownOutput(promise);
    }
}
