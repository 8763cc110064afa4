package loadbalancer.rollout.analysis;

import java.util.Arrays;

/**
 * Estimates the pre-change baseline of one balancer and metric from batches of windows. Batches are
 * used because neighbouring windows are correlated, so that their spread underestimates the
 * variance. The median and the median absolute deviation of the batches prevent an upstream
 * incident from shifting the baseline.
 *
 * <p>Values are on the metric's scale. Not thread-safe.
 */
final class MemberBaseline {
    /** Number of windows in a batch, which covers 30 s. */
    static final int WINDOWS_PER_BATCH = 6;

    /** Minimum number of batches for estimating the spread. */
    private static final int MIN_BATCHES = 4;

    /** Batches of one hour; later ones would change the baseline little. */
    private static final int MAX_BATCHES = 120;

    /** Ratio of standard deviation to median absolute deviation in a normal distribution. */
    private static final double MAD_TO_STANDARD_DEVIATION = 1.4826;

    /** Ratio of the variance of the median to that of the mean in a normal distribution. */
    private static final double MEDIAN_TO_MEAN_VARIANCE = Math.PI / 2;

    private double[] batches = new double[0];
    private double median;
    private double medianVariance;

    /** Adds the mean of a batch, ignoring NaN and batches beyond {@link #MAX_BATCHES}. */
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
