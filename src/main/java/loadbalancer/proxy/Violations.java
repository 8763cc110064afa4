package loadbalancer.proxy;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counts and logs the violations that run-time checks find, with at most one log line per second
 * for each kind. One thread reports, any thread reads. A count above 0 means a fault in the
 * program.
 */
public final class Violations {
    private static final System.Logger LOG = System.getLogger(Violations.class.getName());
    private static final Violation[] KINDS = Violation.values();
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final AtomicLongArray counts = new AtomicLongArray(KINDS.length);
    private final long[] loggedAtNanos = new long[KINDS.length];

    /**
     * Counts and logs a violation.
     *
     * @param nowNanos current time of the monotonic clock
     * @param evidence ids, states and times, in one line
     */
    public void report(Violation kind, long nowNanos, String evidence) {
        int index = kind.ordinal();
        long before = counts.getAndIncrement(index);
        if (before == 0 || nowNanos - loggedAtNanos[index] >= LOG_INTERVAL_NANOS) {
            loggedAtNanos[index] = nowNanos;
            LOG.log(System.Logger.Level.ERROR, "rule violated: " + name(kind) + ": " + evidence);
        }
    }

    /** Returns the number of violations of a kind. */
    public long count(Violation kind) {
        return counts.get(kind.ordinal());
    }

    /** Returns the number of violations of all kinds. */
    public long total() {
        long sum = 0;
        for (Violation kind : KINDS) {
            sum += count(kind);
        }
        return sum;
    }

    /** Returns the kinds that occurred and their counts in one line, or {@code none}. */
    public String summary() {
        StringBuilder out = new StringBuilder();
        for (Violation kind : KINDS) {
            if (count(kind) > 0) {
                out.append(out.length() == 0 ? "" : ", ")
                        .append(name(kind))
                        .append(' ')
                        .append(count(kind));
            }
        }
        return out.length() == 0 ? "none" : out.toString();
    }

    static String name(Violation kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
