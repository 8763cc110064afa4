package loadbalancer.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds the metrics of a balancer that receives its configuration from the control plane. One
 * thread writes, any thread reads.
 */
public final class ControlMetrics {
    private final AtomicLong rejections = new AtomicLong();
    private volatile long revisionEpoch;
    private volatile long revisionNumber;
    private volatile boolean connected;

    /** Records the revision that is now in force. */
    public void revisionApplied(long epoch, long number) {
        revisionEpoch = epoch;
        revisionNumber = number;
    }

    /** Records whether this process is connected to a control server. */
    public void setConnected(boolean isConnected) {
        connected = isConnected;
    }

    /** Counts an update that was rejected. */
    public void updateRejected() {
        rejections.incrementAndGet();
    }

    long revisionEpoch() {
        return revisionEpoch;
    }

    long revisionNumber() {
        return revisionNumber;
    }

    boolean isConnected() {
        return connected;
    }

    long rejections() {
        return rejections.get();
    }
}
