package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import loadbalancer.transport.Transport;

/**
 * Sees a client's bytes before the codec does, and passes them on, buffers them up to a bound while
 * there is no room for what they would become, or discards them once nothing more is taken. Reading
 * goes on in each of these states, since only reading shows that a client has disconnected. Used on
 * the event loop only.
 */
final class InboundByteMonitor extends ChannelInboundHandlerAdapter {
    /**
     * Limit of what is buffered; then reading stops, and a disconnect is noticed only once there is
     * room again.
     */
    private static final int MAX_READ_AHEAD_BYTES = 16 * 1024;

    /**
     * A client that sends so much more after the end of its connection was announced is cut off.
     */
    private static final long MAX_DISCARDED_BYTES = 1L << 20;

    private enum State {
        PASSING,
        BUFFERING,
        DISCARDING
    }

    private final Transport transport;
    private final Runnable onBytes;
    private State state = State.PASSING;
    private ChannelHandlerContext ctx;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private boolean resuming;
    private long discardedBytes;
    private boolean delivered;
    private boolean inRead;
    private long readCount;

    /** When the last byte arrived, in monotonic nanoseconds. */
    private long lastByteNanos;

    /** When the kernel was last found to have nothing more to read, in monotonic nanoseconds. */
    private long lastReadNanos;

    /** {@code onBytes} is called before each read goes on. */
    InboundByteMonitor(Transport transport, Runnable onBytes) {
        this.transport = transport;
        this.onBytes = onBytes;
        this.lastByteNanos = transport.nanoTime();
        this.lastReadNanos = lastByteNanos;
    }

    // States

    /** Buffers what arrives from now on. */
    void pauseDelivery() {
        if (state == State.PASSING) {
            state = State.BUFFERING;
        }
        resuming = false;
    }

    /** Passes on again, what is buffered first; never from within this call. */
    void resumeDelivery() {
        if (state == State.BUFFERING && !resuming) {
            resuming = true;
            ctx.channel().eventLoop().execute(this::deliverBuffered);
        }
    }

    private void deliverBuffered() {
        if (!resuming || state != State.BUFFERING) {
            return;
        }
        resuming = false;
        state = State.PASSING;
        ByteBuf bytes = buffered;
        buffered = Unpooled.EMPTY_BUFFER;
        if (bytes.isReadable()) {
            ctx.fireChannelRead(bytes);
            ctx.fireChannelReadComplete();
        }
        updateAutoRead();
    }

    /** Discards what arrives from now on, for good. */
    void discard() {
        state = State.DISCARDING;
        buffered = Unpooled.EMPTY_BUFFER;
        updateAutoRead();
    }

    private void updateAutoRead() {
        if (ctx.channel().isOpen()) {
            ctx.channel().config().setAutoRead(buffered.readableBytes() < MAX_READ_AHEAD_BYTES);
        }
    }

    // Reading

    /** Reads what has arrived, and the end of the connection if that is next; whether bytes had. */
    boolean readNow() {
        long before = readCount;
        if (!inRead && ctx.channel().isActive() && ctx.channel().config().isAutoRead()) {
            transport.readNow(ctx.channel());
            lastReadNanos = transport.nanoTime();
        }
        return readCount > before;
    }

    /** For how long nothing has been read; what has arrived since is not known. */
    long millisSinceRead() {
        return TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - lastReadNanos);
    }

    /** For how long nothing has arrived, though there was room for it. */
    long quietMillis() {
        return state == State.BUFFERING
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - lastByteNanos);
    }

    boolean hasReceivedBytes() {
        return readCount > 0;
    }

    // Events of the channel

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        inRead = true;
        lastByteNanos = transport.nanoTime();
        readCount++;
        if (state == State.PASSING) {
            onBytes.run();
            delivered = true;
            context.fireChannelRead(bytes);
        } else if (state == State.BUFFERING) {
            // A copy: clients that write byte by byte would have each byte hold on to a whole read.
            buffered =
                    buffered == Unpooled.EMPTY_BUFFER
                            ? Unpooled.buffer(bytes.readableBytes())
                            : buffered;
            buffered.writeBytes(bytes);
            bytes.release();
            updateAutoRead();
        } else {
            discardedBytes += bytes.readableBytes();
            bytes.release();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                context.close();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        inRead = false;
        lastReadNanos = transport.nanoTime();
        if (delivered) {
            delivered = false;
            context.fireChannelReadComplete();
        }
    }
}
