package loadbalancer.proxy;

import java.util.function.LongSupplier;

/**
 * Estimates when the client of a body has written its last byte. While this side reads nothing, the
 * rest of the body may lie in the kernels between, so the time of that byte can't be observed. The
 * estimate is early rather than late, because the client counts its time from then on. Used on the
 * event loop only.
 */
final class UploadTiming {
    /**
     * Number of bytes that a client may have written and this side has not read: the largest send
     * buffer that Linux gives by default, and the receive buffer of this side.
     */
    static final long MAX_IN_TRANSIT_BYTES = 5L << 20;

    /**
     * Pause while this side reads after which the client must have written the next byte since: it
     * is longer than the time in which the kernels pass on what they hold.
     */
    private static final long CLIENT_PAUSE_NANOS = 50_000_000;

    private final long length;
    private final LongSupplier nanoTime;
    private long receivedBytes;
    private long lastByteNanos;
    private boolean blocked;

    /** Monotonic time at which the body was last blocked or unblocked. */
    private long changedNanos;

    /** Total time for which it was not blocked before {@link #changedNanos}. */
    private long unblockedNanos;

    /**
     * Time for which it was blocked while the last byte may have been written, before {@link
     * #changedNanos}, since as many bytes were received as can be in transit.
     */
    private long heldBackNanos;

    /** The same for as many bytes before. */
    private long earlierHeldBackNanos;

    /**
     * Creates the timing of a body of which nothing has been received.
     *
     * @param length size in bytes, -1 if unknown
     * @param nanoTime the monotonic clock
     */
    UploadTiming(long length, LongSupplier nanoTime) {
        this.length = length;
        this.nanoTime = nanoTime;
        this.changedNanos = nanoTime.getAsLong();
        this.lastByteNanos = changedNanos;
    }

    /** Records that bytes were received. */
    void received(int byteCount) {
        long nowNanos = nanoTime.getAsLong();
        long waitedNanos = nowNanos - Math.max(lastByteNanos, changedNanos);
        long windowBefore = receivedBytes / MAX_IN_TRANSIT_BYTES;
        receivedBytes += byteCount;
        lastByteNanos = nowNanos;
        if (!blocked && waitedNanos >= CLIENT_PAUSE_NANOS) {
            heldBackNanos = 0;
            earlierHeldBackNanos = 0;
        } else if (receivedBytes / MAX_IN_TRANSIT_BYTES != windowBefore) {
            earlierHeldBackNanos = heldBackNanos;
            heldBackNanos = 0;
        }
    }

    /** Records that this side stops reading the body, or reads it again. */
    void setBlocked(boolean isBlocked) {
        long nowNanos = nanoTime.getAsLong();
        if (isBlocked) {
            unblockedNanos += nowNanos - changedNanos;
        } else if (mayBeSentCompletely()) {
            heldBackNanos += nowNanos - changedNanos;
        }
        blocked = isBlocked;
        changedNanos = nowNanos;
    }

    /**
     * Returns whether the client may have written the last byte already. If not, it waits for this
     * side to read.
     */
    boolean mayBeSentCompletely() {
        return length < 0 || length - receivedBytes <= MAX_IN_TRANSIT_BYTES;
    }

    /**
     * Returns how long ago, at most, the client has written what is read now, in nanoseconds: the
     * time for which this side did not read although the client may have been done.
     */
    long maxWaitNanos() {
        long sinceChange =
                blocked && mayBeSentCompletely() ? nanoTime.getAsLong() - changedNanos : 0;
        return earlierHeldBackNanos + heldBackNanos + sinceChange;
    }

    /**
     * Estimates the time of reading in which the rest of the body arrives, in nanoseconds, at the
     * rate so far. Returns 0 if the length is unknown, since all of the body may have been sent,
     * and before the first byte.
     */
    long estimatedNanosToCompletion() {
        long readingNanos = unblockedNanos + (blocked ? 0 : nanoTime.getAsLong() - changedNanos);
        return length < 0 || receivedBytes == 0
                ? 0
                : (long) ((double) (length - receivedBytes) / receivedBytes * readingNanos);
    }
}
