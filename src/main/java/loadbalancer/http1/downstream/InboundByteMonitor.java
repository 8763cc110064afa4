package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import loadbalancer.transport.Transport;

/**
 * Sees a client's bytes before the codec does. They go on to it; or, while there is no room for
 * what they would become, they are held up to a bound; or, once nothing more is taken, they are
 * dropped. In all of these reading goes on, since only reading shows that a client has left.
 */
final class InboundByteMonitor extends ChannelInboundHandlerAdapter {
    /**
     * So much is read ahead of what has room; then reading stops. The leaving of a client that has
     * sent more than that is seen once there is room again.
     */
    private static final int AHEAD = 16 * 1024;

    /** A client that is told of the end and sends so much more all the same is cut off. */
    private static final long MOST_DROPPED = 1L << 20;

    private enum State {
        OPEN,
        HELD,
        DROPPING
    }

    private final Transport transport;
    private final Runnable onBytes;
    private State state = State.OPEN;
    private ChannelHandlerContext ctx;
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private boolean opening;
    private long dropped;
    private boolean passedOn;
    private boolean inRead;
    private long reads;

    /** When the last byte came, and when the connection was last read to its end. */
    private long byteAt;

    private long lookedAt;

    /** {@code onBytes} is called before each read goes on. */
    InboundByteMonitor(Transport transport, Runnable onBytes) {
        this.transport = transport;
        this.onBytes = onBytes;
        this.byteAt = transport.nanoTime();
        this.lookedAt = byteAt;
    }

    // ---- Transitions
    // ---------------------------------------------------------------------------------

    /** There is no room for more. */
    void hold() {
        if (state == State.OPEN) {
            state = State.HELD;
        }
        opening = false;
    }

    /** There is room again. What is held goes on by itself, never from within this call. */
    void open() {
        if (state == State.HELD && !opening) {
            opening = true;
            ctx.channel().eventLoop().execute(this::passOnHeld);
        }
    }

    private void passOnHeld() {
        if (!opening || state != State.HELD) {
            return;
        }
        opening = false;
        state = State.OPEN;
        ByteBuf bytes = held;
        held = Unpooled.EMPTY_BUFFER;
        if (bytes.isReadable()) {
            ctx.fireChannelRead(bytes);
            ctx.fireChannelReadComplete();
        }
        readIfRoom();
    }

    /** Nothing more is taken, for good. */
    void drop() {
        state = State.DROPPING;
        held = Unpooled.EMPTY_BUFFER;
        readIfRoom();
    }

    private void readIfRoom() {
        if (ctx.channel().isOpen()) {
            ctx.channel().config().setAutoRead(held.readableBytes() < AHEAD);
        }
    }

    // ---- Looking
    // -------------------------------------------------------------------------------------

    /**
     * Reads now what has come, and the end of the connection if that is next; whether bytes came.
     */
    boolean look() {
        long before = reads;
        if (!inRead && ctx.channel().isActive() && ctx.channel().config().isAutoRead()) {
            transport.look(ctx.channel());
            lookedAt = transport.nanoTime();
        }
        return reads > before;
    }

    /** For how long nothing has been read, in milliseconds; what came since is not known. */
    long unlookedMs() {
        return TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - lookedAt);
    }

    /** How long nothing has come, though there was room for it, in milliseconds. */
    long quietMs() {
        return state == State.HELD
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - byteAt);
    }

    boolean anyByte() {
        return reads > 0;
    }

    // ---- From the connection
    // -------------------------------------------------------------------------

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        inRead = true;
        byteAt = transport.nanoTime();
        reads++;
        if (state == State.OPEN) {
            onBytes.run();
            passedOn = true;
            context.fireChannelRead(bytes);
        } else if (state == State.HELD) {
            // A copy: clients that write byte by byte would have each byte hold on to a whole read.
            held = held == Unpooled.EMPTY_BUFFER ? Unpooled.buffer(bytes.readableBytes()) : held;
            held.writeBytes(bytes);
            bytes.release();
            readIfRoom();
        } else {
            dropped += bytes.readableBytes();
            bytes.release();
            if (dropped > MOST_DROPPED) {
                context.close();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        inRead = false;
        lookedAt = transport.nanoTime();
        if (passedOn) {
            passedOn = false;
            context.fireChannelReadComplete();
        }
    }
}
