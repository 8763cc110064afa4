package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.RequestBody;
import loadbalancer.transport.AccumulationBuffer;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.Transport;

/**
 * Receives a client's bytes before the codec does. Passes them on, buffers them up to a limit while
 * the request queue or body buffer is full, or discards them once the connection accepts no more
 * requests. Reading continues in each of these states, since only a read detects that a client has
 * disconnected; it stops while delivery of a body is paused, and under memory pressure. Used on the
 * event loop only.
 */
final class InboundByteMonitor extends ChannelInboundHandlerAdapter {
    /**
     * Limit of the buffered bytes of the request in service. At the limit reading stops, and a
     * disconnect is detected only after delivery resumes.
     */
    private static final int MAX_READ_AHEAD_BYTES = 16 * 1024;

    /**
     * Limit of the buffered bytes behind the request in service; 0 under memory pressure. Beyond it
     * the rest is discarded and nothing behind is served: reading can't stop, since the close of a
     * client that has left would not be seen.
     */
    private static final int MAX_PIPELINED_BYTES = 64 * 1024;

    /** Limit of the reads in a row that look for the end of the stream. */
    private static final int MAX_READS_FOR_END = 512;

    /**
     * Size in bytes of the parts in which heads are passed on. The decoder appends them to what it
     * has not decoded, and drops what it has decoded after every 16 parts only, so that its buffer
     * grows to 16 parts and one head.
     */
    private static final int HEAD_PART_BYTES = 1024;

    /**
     * Limit of the bytes that a client may send after the end of its connection was announced;
     * beyond it, the connection is closed. The rest of an upload is below it: a close would reset
     * the connection, and a client that is still writing would not read its response.
     */
    private static final long MAX_DISCARDED_BYTES = RequestBody.MAX_BYTES + (1L << 20);

    /** The connection whose bytes are monitored. */
    interface Owner {
        /** Called before each received buffer is passed on. */
        void bytesReceived();

        /** Returns whether the next bytes belong to a head. */
        boolean isAwaitingHead();

        /** Returns whether bytes that arrive now are behind a complete request. */
        boolean isPipelining();

        /** Called once when more has arrived behind the request in service than is buffered. */
        void pipelineOverrun();
    }

    private enum State {
        PASSING,
        BUFFERING,
        DISCARDING
    }

    private final Transport transport;
    private final Owner owner;
    private final SmallPartPacer pacer;
    private final MemoryQuota quota;
    private final AccumulationBuffer buffered;
    private State state = State.PASSING;
    private ChannelHandlerContext ctx;
    private boolean resumeScheduled;
    private long discardedBytes;
    private boolean deliveredInRead;
    private boolean inRead;
    private boolean overrun;

    /** Whether reading waits for the turn of this connection. */
    private boolean paced;

    private long readCount;

    /** Monotonic time at which the last byte arrived. */
    private long lastByteNanos;

    /** Monotonic time at which a read last emptied the kernel buffer. */
    private long lastReadNanos;

    /** Creates a monitor that passes bytes on. */
    InboundByteMonitor(Transport transport, Owner owner, SmallPartPacer pacer) {
        this.pacer = pacer;
        this.transport = transport;
        this.owner = owner;
        this.quota = transport.memoryQuota();
        this.buffered = new AccumulationBuffer(quota, MemoryQuota.Purpose.IN_TRANSIT);
        this.lastByteNanos = transport.nanoTime();
        this.lastReadNanos = lastByteNanos;
    }

    // Delivery

    /** Stops passing bytes on and buffers those that arrive from now on. */
    void pauseDelivery() {
        resumeScheduled = false;
        if (state == State.PASSING) {
            state = State.BUFFERING;
        }
        updateReading();
    }

    /** Resumes delivery with the buffered bytes; they are passed on after this call returns. */
    void resumeDelivery() {
        if (state == State.BUFFERING && !resumeScheduled) {
            resumeScheduled = true;
            ctx.channel().eventLoop().execute(this::deliverBuffered);
        }
    }

    private void deliverBuffered() {
        if (!resumeScheduled || state != State.BUFFERING) {
            return;
        }
        resumeScheduled = false;
        state = State.PASSING;
        ByteBuf bytes = buffered.take();
        if (bytes.isReadable()) {
            deliver(bytes);
            ctx.fireChannelReadComplete();
        }
        updateReading();
    }

    /**
     * Passes bytes on: those of heads as copies of limited size, so that a head that has arrived in
     * part holds no read buffer, and those of a body as they are.
     */
    private void deliver(ByteBuf bytes) {
        while (bytes.readableBytes() > HEAD_PART_BYTES && owner.isAwaitingHead()) {
            ctx.fireChannelRead(Unpooled.copiedBuffer(bytes.readSlice(HEAD_PART_BYTES)));
        }
        ctx.fireChannelRead(bytes);
    }

    /** Permanently discards the buffered bytes and those that arrive from now on. */
    void discard() {
        state = State.DISCARDING;
        buffered.take();
        updateReading();
    }

    /** Starts or stops reading, depending on the room for the bytes that are read. */
    void updateReading() {
        boolean hasRoom =
                state == State.DISCARDING
                        || state == State.PASSING && !paced
                        || state == State.BUFFERING
                                && !quota.isUnderPressure()
                                && (owner.isPipelining() || buffered.size() < MAX_READ_AHEAD_BYTES);
        if (ctx.channel().isOpen()) {
            ctx.channel().config().setAutoRead(hasRoom);
        }
    }

    /** Reads no more for a while after a read of many small parts. */
    void smallPartsRead(int parts) {
        long delayNanos = pacer.charge(parts, transport.nanoTime());
        if (delayNanos > 0 && !paced) {
            paced = true;
            updateReading();
            transport.loop().schedule(this::endPacing, delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void endPacing() {
        paced = false;
        updateReading();
    }

    // Reading

    /**
     * Reads the bytes that have arrived, and the end of the stream if it follows them. Returns
     * whether any bytes had arrived.
     */
    boolean readNow() {
        long before = readCount;
        if (!inRead && ctx.channel().config().isAutoRead()) {
            readAvailable();
        }
        return readCount > before;
    }

    /**
     * Reads up to the end of the stream if it has arrived and requests are pipelined before it,
     * also where reading had stopped.
     */
    void readUpToEnd() {
        long before;
        int reads = 0;
        do {
            before = readCount;
            if (!inRead && (owner.isPipelining() || overrun)) {
                readAvailable();
            }
            reads++;
        } while (readCount > before && reads < MAX_READS_FOR_END);
    }

    private void readAvailable() {
        if (ctx.channel().isActive()) {
            transport.readAvailable(ctx.channel());
            lastReadNanos = transport.nanoTime();
        }
    }

    /** Returns whether requests behind the one in service were discarded. */
    boolean isOverrun() {
        return overrun;
    }

    /** Returns the time since the last read; bytes may have arrived unnoticed since then. */
    long millisSinceRead() {
        return TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - lastReadNanos);
    }

    /** Returns the time since the last byte arrived; 0 while delivery is paused. */
    long receiveIdleMillis() {
        return state == State.BUFFERING
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - lastByteNanos);
    }

    boolean hasReceivedBytes() {
        return readCount > 0;
    }

    private void buffer(ByteBuf bytes) {
        int maxPipelinedBytes = quota.isUnderPressure() ? 0 : MAX_PIPELINED_BYTES;
        if (owner.isPipelining() && buffered.size() + bytes.readableBytes() > maxPipelinedBytes) {
            overrun = true;
            discard();
            owner.pipelineOverrun();
        } else {
            buffered.add(bytes);
        }
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
            owner.bytesReceived();
            deliveredInRead = true;
            deliver(bytes);
        } else if (state == State.BUFFERING) {
            buffer(bytes);
            bytes.release();
            updateReading();
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
        if (deliveredInRead) {
            deliveredInRead = false;
            context.fireChannelReadComplete();
        }
    }
}
