package loadbalancer.node;

import java.util.random.RandomGenerator;

/**
 * Draws the pauses between calls to discovery, in milliseconds. Each lies between half and one and
 * a half times a mean that doubles up to a cap, and none exceeds the limit of {@link
 * DiscoveryTimes#maxPauseMillis}.
 */
final class DiscoveryBackoff {
    /** Short, because most failures are a single closed connection and the next call succeeds. */
    private static final long FIRST_MEAN_MILLIS = 50;

    /** While discovery is unavailable, each of a hundred balancers calls it once a second. */
    private static final long MAX_MEAN_MILLIS = 1_000;

    private long meanMillis = FIRST_MEAN_MILLIS;

    /** Resets the mean to its first value, after a call that succeeded. */
    void reset() {
        meanMillis = FIRST_MEAN_MILLIS;
    }

    /**
     * Draws the pause after a failed call that had received nothing for {@code quietMillis}. Calls
     * after a silence are spread as widely as the limit allows, because the watches of all
     * balancers usually fall silent at the same time.
     */
    long nextMillis(long quietMillis, RandomGenerator random) {
        long maxMean = DiscoveryTimes.maxPauseMillis(quietMillis) * 2 / 3;
        long mean =
                quietMillis >= DiscoveryTimes.SILENCE_MILLIS
                        ? maxMean
                        : Math.min(meanMillis, maxMean);
        meanMillis = Math.min(MAX_MEAN_MILLIS, 2 * meanMillis);
        return mean / 2 + random.nextLong(mean);
    }
}
