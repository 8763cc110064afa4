package loadbalancer.rollout.analysis;

import java.util.Arrays;

/** Middles on which a single value has a bounded influence. */
final class RobustStatistics {
    /**
     * A tenth of each side goes, and one at least: one liar or one bad balancer is always among
     * them.
     */
    private static final int ONE_IN = 10;

    private RobustStatistics() {}

    /** Not a number for none. */
    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int n = sorted.length;
        return n == 0 ? Double.NaN : (sorted[(n - 1) / 2] + sorted[n / 2]) / 2;
    }

    /**
     * The mean without the least and greatest tenth, at least one of each (Tukey's trimmed mean).
     * Of three that is the median; of one or two, where nobody can tell who is wrong, the plain
     * mean.
     */
    static double trimmed(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int n = sorted.length;
        int off = n < 3 ? 0 : Math.max(1, n / ONE_IN);
        return Arrays.stream(sorted, off, n - off).average().orElse(Double.NaN);
    }
}
