package loadbalancer.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Metrics of a balancer that takes its configuration from the control plane. One thread writes, any
 * thread reads.
 */
public final class ControlMetrics {
    private final AtomicLong rejections = new AtomicLong();
    private volatile long epoch;
    private volatile long number;
    private volatile boolean connected;

    /** The revision in force, by its epoch and number. */
    public void revisionApplied(long revisionEpoch, long revisionNumber) {
        epoch = revisionEpoch;
        number = revisionNumber;
    }

    /** Whether a control server is connected. */
    public void setConnected(boolean isConnected) {
        connected = isConnected;
    }

    /** An update was rejected. */
    public void updateRejected() {
        rejections.incrementAndGet();
    }

    long epoch() {
        return epoch;
    }

    long number() {
        return number;
    }

    boolean isConnected() {
        return connected;
    }

    long rejections() {
        return rejections.get();
    }
}
