package loadbalancer.fleet.replication;

import java.util.Arrays;
import java.util.Collection;

/**
 * Robust estimators for values that several members report: a few malicious members have little
 * influence on them (Huber, Robust Statistics, 1981). Values that are not finite are ignored.
 * Stateless.
 *
 * <p>The statistics of {@code rollout.analysis} differ: they take finite values only, and their
 * median and trimmed mean round differently.
 */
public final class RobustEstimators {
    private RobustEstimators() {}

    /**
     * Returns the median, which is the mean of the two middle values of an even number; NaN if
     * there are no values. Fewer than half of the values can't move it beyond the range of the
     * others.
     */
    public static double median(Collection<Double> values) {
        double[] sorted = sortedFinite(values);
        int count = sorted.length;
        if (count == 0) {
            return Double.NaN;
        }
        double low = sorted[(count - 1) / 2];
        return low + (sorted[count / 2] - low) / 2;
    }

    /**
     * Returns the mean without a fraction of the values at each end, at least one value per end if
     * there are three or more; NaN if there are no values. Malicious values can't move it beyond
     * the range of the others if there are no more of them than are cut off at one end.
     *
     * @param fraction fraction to cut off at each end, from 0 to below 0.5
     * @throws IllegalArgumentException if the fraction is negative, 0.5 or more, or NaN
     */
    public static double trimmedMean(Collection<Double> values, double fraction) {
        if (!(fraction >= 0 && fraction < 0.5)) {
            throw new IllegalArgumentException(
                    "trimmed mean: the fraction " + fraction + " is not at least 0 and below 0.5");
        }
        double[] sorted = sortedFinite(values);
        int count = sorted.length;
        int cut = Math.max((int) (fraction * count), count >= 3 ? 1 : 0);
        double sum = 0;
        for (int i = cut; i < count - cut; i++) {
            sum += sorted[i] / (count - 2 * cut);
        }
        return count == 0 ? Double.NaN : sum;
    }

    /**
     * Returns a shrinkage estimate, which moves from a prior to the value of the samples as their
     * number grows.
     *
     * @param value the estimate from the samples alone
     * @param samples number of samples
     * @param prior the estimate without samples
     * @param priorWeight weight of the prior as a number of samples, above 0
     */
    public static double shrink(double value, int samples, double prior, double priorWeight) {
        return samples == 0 || !Double.isFinite(value)
                ? prior
                : prior + (value - prior) * samples / (samples + priorWeight);
    }

    private static double[] sortedFinite(Collection<Double> values) {
        double[] sorted =
                values.stream().filter(Double::isFinite).mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(sorted);
        return sorted;
    }
}
