package loadbalancer.faults.control.scale;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Bytes that one subscriber read, and the most of them in any ten seconds, to the second. */
final class ByteMeter {
    private static final int WINDOW_SECONDS = 10;
    private static final long MICROS_PER_SECOND = TimeUnit.SECONDS.toMicros(1);

    private final long[] seconds = new long[WINDOW_SECONDS];
    private long second = Long.MIN_VALUE;
    private long inWindow;
    private long worst;
    private long total;

    /** So many bytes came now. */
    void add(long nowMicros, long bytes) {
        advanceTo(nowMicros / MICROS_PER_SECOND);
        seconds[(int) (second % WINDOW_SECONDS)] += bytes;
        inWindow += bytes;
        worst = Math.max(worst, inWindow);
        total += bytes;
    }

    private void advanceTo(long next) {
        long from = Math.max(second + 1, next - WINDOW_SECONDS + 1);
        if (second == Long.MIN_VALUE) {
            from = next;
        }
        for (long passed = from; passed <= next; passed++) {
            int place = (int) (passed % WINDOW_SECONDS);
            inWindow -= seconds[place];
            seconds[place] = 0;
        }
        second = Math.max(second, next);
    }

    /** All bytes since the last {@link #reset}. */
    long total() {
        return total;
    }

    /** The most bytes in ten seconds since the last {@link #reset}. */
    long worstTenSeconds() {
        return worst;
    }

    /** Counts from nothing again. */
    void reset() {
        Arrays.fill(seconds, 0);
        inWindow = 0;
        worst = 0;
        total = 0;
    }
}
