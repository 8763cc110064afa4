package loadbalancer.rollout.analysis;

import java.util.Arrays;
import java.util.List;

/** Robust estimates of location: a single value has a bounded influence on them. Stateless. */
final class CohortStatistics {
    /** One in so many values is cut off at each end. */
    private static final int TRIM_ONE_IN = 10;

    private CohortStatistics() {}

    /** The median; the mean of the middle two of an even number; NaN if there are no values. */
    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int length = sorted.length;
        return length == 0 ? Double.NaN : (sorted[(length - 1) / 2] + sorted[length / 2]) / 2;
    }

    /**
     * Tukey's trimmed mean: without the least and the greatest tenth, at least one of each, so that
     * one faulty or malicious balancer is always cut off. Of three values that is the median; of
     * one or two, where the faulty one is unknown, the plain mean; NaN if there are no values.
     */
    static double trimmedMean(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int length = sorted.length;
        int trimmed = length < 3 ? 0 : Math.max(1, length / TRIM_ONE_IN);
        return Arrays.stream(sorted, trimmed, length - trimmed).average().orElse(Double.NaN);
    }

    /** The value, limited to {@code -bound} to {@code bound}. */
    static double clamp(double value, double bound) {
        return Math.max(-bound, Math.min(bound, value));
    }

    static double[] toArray(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).toArray();
    }
}
