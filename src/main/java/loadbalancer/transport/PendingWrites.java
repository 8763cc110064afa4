package loadbalancer.transport;

import io.netty.channel.Channel;

/**
 * Counts the bytes that were written to one channel and that the kernel has not taken yet, and
 * reserves memory for them. Used on the event loop only.
 */
public final class PendingWrites {
    private final Channel channel;
    private final MemoryQuota quota;
    private final MemoryQuota.Reservation reservation;

    /** Creates a counter without pending writes. */
    public PendingWrites(Channel channel, MemoryQuota quota, MemoryQuota.Purpose purpose) {
        this.channel = channel;
        this.quota = quota;
        this.reservation = quota.newReservation(purpose);
    }

    /** Records a write. */
    public void started(int bytes) {
        reservation.resizeTo(reservation.bytes() + bytes);
    }

    /** Records the end of a write, whether it succeeded or not. */
    public void ended(int bytes) {
        reservation.resizeTo(reservation.bytes() - bytes);
    }

    /**
     * Returns whether more should be written: the channel is below its water mark; under memory
     * pressure, nothing is pending.
     */
    public boolean isWritable() {
        return channel.isWritable() && (!quota.isUnderPressure() || !isPending());
    }

    /** Returns whether any bytes are pending. */
    public boolean isPending() {
        return reservation.bytes() > 0;
    }
}
