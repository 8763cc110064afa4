package loadbalancer.logging;

import java.util.concurrent.TimeUnit;

/** A line of the log about something that may go wrong again and again: it is written once. */
public final class LogOnce {
    /** What has not happened for so long has ceased. */
    private static final long CEASED_NS = TimeUnit.MINUTES.toNanos(1);

    private boolean ever;
    private long last;

    /** Whether to write it, now that the thing has happened; {@code now} in nanoseconds. */
    public boolean due(long now) {
        boolean due = !ever || now - last > CEASED_NS;
        ever = true;
        last = now;
        return due;
    }
}
