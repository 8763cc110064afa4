package loadbalancer.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * Bytes that are kept as a copy, with a reservation of the memory that they take. Keeping the read
 * buffers themselves would hold one of them for each byte from a peer that writes byte by byte.
 * Used on the event loop only.
 */
public final class AccumulationBuffer {
    private final MemoryQuota.Reservation reservation;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;

    /** Creates an empty buffer that reserves from a quota. */
    public AccumulationBuffer(MemoryQuota quota, MemoryQuota.Purpose purpose) {
        this.reservation = quota.newReservation(purpose);
    }

    /**
     * Reserves memory for more bytes.
     *
     * @return false if the quota has no room for them
     */
    public boolean tryReserve(int byteCount) {
        return reservation.tryGrowTo(capacityWith(byteCount));
    }

    private int capacityWith(int byteCount) {
        int size = buffered.readableBytes() + byteCount;
        if (isEmpty() || size <= buffered.capacity()) {
            return Math.max(size, buffered.capacity());
        }
        return UnpooledByteBufAllocator.DEFAULT.calculateNewCapacity(size, Integer.MAX_VALUE);
    }

    /** Adds a copy of the readable bytes, which stay readable; the limit is not checked. */
    public void add(ByteBuf bytes) {
        if (!bytes.isReadable()) {
            return;
        }
        if (isEmpty()) {
            buffered = Unpooled.buffer(bytes.readableBytes());
        }
        buffered.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        reservation.resizeTo(buffered.capacity());
    }

    /** Returns whether no byte was added since it was created or emptied. */
    public boolean isEmpty() {
        return buffered == Unpooled.EMPTY_BUFFER;
    }

    /** Returns the number of bytes. */
    public int size() {
        return buffered.readableBytes();
    }

    /** Returns the bytes, which the caller has to release, and which stay in this buffer. */
    public ByteBuf content() {
        return buffered.retainedDuplicate();
    }

    /** Empties this buffer and returns its bytes, which are not reserved any more. */
    public ByteBuf take() {
        ByteBuf bytes = buffered;
        buffered = Unpooled.EMPTY_BUFFER;
        reservation.close();
        return bytes;
    }
}
