package loadbalancer.rollout.analysis;

import java.util.Arrays;

/**
 * Pre-change baseline of one balancer in one metric, from batches of windows. Windows within a
 * batch are correlated; their spread alone would look smaller than it is. Median and median
 * absolute deviation of the batches keep an incident of the upstreams from shifting the baseline.
 *
 * <p>Values are on the metric's scale. Not thread-safe.
 */
final class MemberBaseline {
    /** Windows of a batch: 30 s. */
    static final int WINDOWS_PER_BATCH = 6;

    /** With fewer batches the spread is unknown. */
    private static final int MIN_BATCHES = 4;

    /** One hour; later ones would change little. */
    private static final int MAX_BATCHES = 120;

    /** Median absolute deviation to standard deviation of a normal distribution. */
    private static final double MAD_TO_STANDARD_DEVIATION = 1.4826;

    /** Variance of a median over that of a mean, for a normal distribution. */
    private static final double MEDIAN_TO_MEAN_VARIANCE = Math.PI / 2;

    private double[] batches = new double[0];
    private double median;
    private double medianVariance;

    /** Adds the mean of a batch; NaN, and what comes after the last hour, is ignored. */
    void addBatch(double mean) {
        if (Double.isNaN(mean) || batches.length == MAX_BATCHES) {
            return;
        }
        batches = Arrays.copyOf(batches, batches.length + 1);
        batches[batches.length - 1] = mean;
        median = CohortStatistics.median(batches);
        double deviation =
                MAD_TO_STANDARD_DEVIATION
                        * CohortStatistics.median(
                                Arrays.stream(batches)
                                        .map(batch -> Math.abs(batch - median))
                                        .toArray());
        medianVariance = MEDIAN_TO_MEAN_VARIANCE * deviation * deviation / batches.length;
    }

    boolean isKnown() {
        return batches.length >= MIN_BATCHES;
    }

    double median() {
        return median;
    }

    double medianVariance() {
        return medianVariance;
    }
}
