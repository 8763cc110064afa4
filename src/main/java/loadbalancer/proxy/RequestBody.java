package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import loadbalancer.transport.AccumulationBuffer;
import loadbalancer.transport.MemoryQuota;

/**
 * Passes the body of a request from the client to an attempt. A small body stays buffered and can
 * be sent again. Of a larger body only the beginning is buffered, until an attempt is attached;
 * from then on its bytes are streamed to that attempt, and no other attempt can send it. Used on
 * the event loop only.
 */
public final class RequestBody {
    /** Size in bytes up to which a body stays buffered as a whole. */
    public static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** Size in bytes of the largest body that is accepted. */
    public static final long MAX_BYTES = 32L << 20;

    private static final MemoryQuota NO_QUOTA = MemoryQuota.unlimited();

    /** Receives the bytes of a body for one attempt. */
    public interface Sink {
        /** Receives the next bytes, and the duty to release them. */
        void write(ByteBuf bytes);

        /** Called after the last byte. */
        void end();

        /** Returns whether more bytes can be written without filling the send buffer. */
        boolean isWritable();
    }

    private final long length;
    private final UploadTiming timing;
    private final Runnable onRoomAvailable;

    /** Bytes for later attempts. */
    private final AccumulationBuffer buffered;

    private long received;
    private boolean replayable = true;
    private boolean complete;
    private boolean released;
    private Sink sink;
    private Consumer<Boolean> flowListener = blocked -> {};
    private boolean blocked;

    /**
     * Creates a body of which no byte has arrived.
     *
     * @param length size in bytes, -1 if unknown
     * @param nanoTime the monotonic clock
     * @param quota limits the memory of the buffered bytes
     * @param onRoomAvailable runs whenever {@link #hasRoom} may have become true
     */
    public RequestBody(
            long length, LongSupplier nanoTime, MemoryQuota quota, Runnable onRoomAvailable) {
        this.length = length;
        this.timing = new UploadTiming(length, nanoTime);
        this.onRoomAvailable = onRoomAvailable;
        this.buffered = new AccumulationBuffer(quota, MemoryQuota.Purpose.REQUEST_BODY);
    }

    /** Returns a complete body of 0 bytes. */
    public static RequestBody empty() {
        RequestBody body = new RequestBody(0, () -> 0, NO_QUOTA, () -> {});
        body.complete = true;
        return body;
    }

    /**
     * Sets the listener for whether the body is blocked, which it is while more bytes can arrive
     * and there is no room for them. The listener is called at once and after each change.
     */
    void onFlowChange(Consumer<Boolean> listener) {
        flowListener = listener;
        flowListener.accept(blocked);
    }

    private void updateFlow() {
        boolean isBlocked = !complete && !hasRoom();
        if (isBlocked != blocked) {
            blocked = isBlocked;
            timing.setBlocked(isBlocked);
            flowListener.accept(isBlocked);
        }
    }

    /**
     * Reserves memory for the next bytes.
     *
     * @return false if the quota has no room for them
     */
    public boolean tryReserve(int byteCount) {
        return released || !replayable || buffered.tryReserve(byteCount);
    }

    /** Adds the next bytes, which the caller hands over; the body releases them. */
    public void add(ByteBuf bytes) {
        received += bytes.readableBytes();
        timing.received(bytes.readableBytes());
        if (released) {
            bytes.release(); // the body is no longer needed
            return;
        }
        if (replayable) {
            buffered.add(bytes);
        }
        if (sink != null) {
            sink.write(bytes);
        } else {
            bytes.release();
        }
        stopBufferingIfLarge();
        updateFlow();
    }

    /** Marks the body as complete. */
    public void end() {
        complete = true;
        updateFlow();
        if (sink != null) {
            sink.end();
        }
    }

    /** Sends the buffered bytes, and from then on all that arrive, to an attempt. */
    public void attach(Sink next) {
        sink = next;
        if (buffered.size() > 0) {
            next.write(content());
        }
        stopBufferingIfLarge();
        if (complete) {
            next.end();
        }
        updateFlow();
        onRoomAvailable.run();
    }

    /** Stops sending to an attempt that has ended. */
    public void detach(Sink former) {
        if (sink == former) {
            sink = null;
            updateFlow();
        }
    }

    /** Called when the attached attempt may have become writable or unwritable. */
    public void writabilityChanged() {
        updateFlow();
        onRoomAvailable.run();
    }

    private void stopBufferingIfLarge() {
        if (received > MAX_BUFFERED_BYTES && sink != null) {
            replayable = false;
            buffered.take();
        }
    }

    /** Returns the buffered bytes, which the caller has to release. */
    public ByteBuf content() {
        return buffered.content();
    }

    /** Returns whether all bytes so far are buffered, so that another attempt can send them. */
    public boolean isReplayable() {
        return replayable && !released;
    }

    public boolean isComplete() {
        return complete;
    }

    /** Returns the number of bytes that have arrived. */
    public long receivedBytes() {
        return received;
    }

    /** Returns the size of the complete body in bytes; -1 if unknown. */
    public long length() {
        return complete ? received : length;
    }

    /** Returns when the client wrote its bytes, as far as this side can tell. */
    UploadTiming timing() {
        return timing;
    }

    /** Returns whether more bytes may be added; while not, the client has to wait. */
    public boolean hasRoom() {
        return released || (sink == null ? received <= MAX_BUFFERED_BYTES : sink.isWritable());
    }

    /** Discards the body, including bytes that arrive later. */
    public void release() {
        released = true;
        sink = null;
        buffered.take();
        updateFlow();
        onRoomAvailable.run();
    }
}
