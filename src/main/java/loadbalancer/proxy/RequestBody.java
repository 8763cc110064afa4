package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The body of a request on its way from a client to an endpoint. A small one is buffered and can be
 * sent again. Of a larger one the beginning is buffered until an attempt takes it; from then on
 * bytes are streamed, and only that attempt can have them. Used on the event loop only; whoever
 * adds bytes gives them away.
 */
public final class RequestBody {
    /** The largest body that is always buffered, in bytes. */
    public static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** The largest body that is accepted, in bytes. */
    public static final long MAX_BYTES = 32L << 20;

    /** Where the bytes go: one attempt. */
    public interface Sink {
        /** Takes over the next bytes. */
        void write(ByteBuf bytes);

        /** The body is complete. */
        void end();

        /** Whether more can be written now without piling up. */
        boolean isWritable();
    }

    private final long length;
    private final LongSupplier nanoTime;
    private final Runnable onRoom;

    /**
     * A copy: clients that write byte by byte would have each byte hold on to a replayable read.
     */
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;

    private long received;
    private boolean replayable = true;
    private boolean complete;
    private boolean released;
    private Sink sink;
    private Consumer<Boolean> flowListener = blocked -> {};
    private boolean blocked;

    /** Since when it is not blocked, in monotonic nanoseconds. */
    private long unblockedSinceNanos;

    /** For how long it was not blocked before that. */
    private long unblockedNanos;

    /**
     * A body of which the first byte is still to arrive.
     *
     * @param length bytes, -1 if not known
     * @param nanoTime the monotonic clock
     * @param onRoom runs when there may be room for more
     */
    public RequestBody(long length, LongSupplier nanoTime, Runnable onRoom) {
        this.length = length;
        this.nanoTime = nanoTime;
        this.unblockedSinceNanos = nanoTime.getAsLong();
        this.onRoom = onRoom;
    }

    /** A complete, empty body. */
    public static RequestBody empty() {
        RequestBody body = new RequestBody(0, () -> 0, () -> {});
        body.complete = true;
        return body;
    }

    /**
     * Reports whether the body is blocked: more could arrive but has no room. Called at once, too.
     */
    void onFlowChange(Consumer<Boolean> listener) {
        flowListener = listener;
        flowListener.accept(blocked);
    }

    private void updateFlow() {
        boolean isBlocked = !complete && !hasRoom();
        if (isBlocked != blocked) {
            blocked = isBlocked;
            if (blocked) {
                unblockedNanos += nanoTime.getAsLong() - unblockedSinceNanos;
            } else {
                unblockedSinceNanos = nanoTime.getAsLong();
            }
            flowListener.accept(isBlocked);
        }
    }

    /** Adds the next bytes, and takes them over. */
    public void add(ByteBuf bytes) {
        received += bytes.readableBytes();
        if (released) {
            bytes.release(); // nobody wants them any more
            return;
        }
        if (replayable) {
            buffered =
                    buffered == Unpooled.EMPTY_BUFFER
                            ? Unpooled.buffer(bytes.readableBytes())
                            : buffered;
            buffered.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        }
        if (sink != null) {
            sink.write(bytes);
        } else {
            bytes.release();
        }
        stopBufferingIfLarge();
        updateFlow();
    }

    /** Completes the body. */
    public void end() {
        complete = true;
        updateFlow();
        if (sink != null) {
            sink.end();
        }
    }

    /** Gives an attempt all that is buffered, and from now on all that arrives. */
    public void attach(Sink next) {
        sink = next;
        if (buffered.isReadable()) {
            next.write(content());
        }
        stopBufferingIfLarge();
        if (complete) {
            next.end();
        }
        updateFlow();
        onRoom.run();
    }

    /** The attempt has ended. */
    public void detach(Sink former) {
        if (sink == former) {
            sink = null;
            updateFlow();
        }
    }

    /** The attempt may be able to take more. */
    public void writabilityChanged() {
        updateFlow();
        onRoom.run();
    }

    private void stopBufferingIfLarge() {
        if (received > MAX_BUFFERED_BYTES && sink != null) {
            replayable = false;
            buffered = Unpooled.EMPTY_BUFFER;
        }
    }

    /** All bytes that are buffered, for the caller to release. */
    public ByteBuf content() {
        return buffered.retainedDuplicate();
    }

    /** Whether all that has arrived is still buffered: only then may there be a further attempt. */
    public boolean isReplayable() {
        return replayable && !released;
    }

    public boolean isComplete() {
        return complete;
    }

    /** How many bytes have arrived. */
    public long receivedBytes() {
        return received;
    }

    /** How many bytes there will be, -1 if not known. */
    public long length() {
        return complete ? received : length;
    }

    /**
     * How long the client will need for what is missing, at its pace so far while not blocked; 0 if
     * it is not known whether anything is missing.
     */
    long estimatedMicrosToCompletion() {
        long unblockedInAll =
                unblockedNanos + (blocked ? 0 : nanoTime.getAsLong() - unblockedSinceNanos);
        return length < 0 || received == 0
                ? 0
                : (long)
                        ((double) (length - received)
                                / received
                                * TimeUnit.NANOSECONDS.toMicros(unblockedInAll));
    }

    /** Whether there is room for more; without, the client waits. */
    public boolean hasRoom() {
        return released || (sink == null ? received <= MAX_BUFFERED_BYTES : sink.isWritable());
    }

    /** Drops the body, and what may still arrive of it. */
    public void release() {
        released = true;
        sink = null;
        buffered = Unpooled.EMPTY_BUFFER;
        updateFlow();
        onRoom.run();
    }
}
