package loadbalancer.rollout.analysis;

import java.util.Arrays;
import java.util.List;

/** Robust estimators of location, on which single values have bounded influence. Stateless. */
final class CohortStatistics {
    /** A tenth of the values is trimmed at each end. */
    private static final int TRIM_ONE_IN = 10;

    private CohortStatistics() {}

    /** Returns the median, averaging the middle two of an even number; NaN without values. */
    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int length = sorted.length;
        return length == 0 ? Double.NaN : (sorted[(length - 1) / 2] + sorted[length / 2]) / 2;
    }

    /**
     * Returns Tukey's trimmed mean, without the lowest and the highest tenth and at least one value
     * at each end, which removes a single faulty or malicious balancer. This is the median of three
     * values. One or two values are averaged, as the faulty one is unknown; NaN without values.
     */
    static double trimmedMean(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int length = sorted.length;
        int trimmed = length < 3 ? 0 : Math.max(1, length / TRIM_ONE_IN);
        return Arrays.stream(sorted, trimmed, length - trimmed).average().orElse(Double.NaN);
    }

    /** Limits a value to the range from {@code -bound} to {@code bound}. */
    static double clamp(double value, double bound) {
        return Math.max(-bound, Math.min(bound, value));
    }

    static double[] toArray(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).toArray();
    }
}
