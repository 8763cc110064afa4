package loadbalancer.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * What a balancer that takes its configuration from control machines shows of that. One thread
 * writes, any thread reads.
 */
public final class ControlMetrics {
    private final AtomicLong refusals = new AtomicLong();
    private volatile long epoch;
    private volatile long number;
    private volatile boolean connected;

    /** The revision in force, by its epoch and number. */
    public void inForce(long revisionEpoch, long revisionNumber) {
        epoch = revisionEpoch;
        number = revisionNumber;
    }

    /** Whether a control machine is heard. */
    public void connected(boolean heard) {
        connected = heard;
    }

    /** An update was refused. */
    public void refused() {
        refusals.incrementAndGet();
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

    long refusals() {
        return refusals.get();
    }
}
