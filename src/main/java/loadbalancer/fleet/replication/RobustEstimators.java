package loadbalancer.fleet.replication;

import java.util.Arrays;
import java.util.Collection;

/**
 * Estimators from what several members report, on which a few malicious members have little
 * influence (Huber, Robust Statistics, 1981). Values that are not finite are ignored. Stateless.
 *
 * <p>The statistics of {@code rollout.analysis} differ: they take finite values only, and their
 * median and trimmed mean round differently.
 */
public final class RobustEstimators {
    private RobustEstimators() {}

    /**
     * The median; the mean of the two middle values of an even number. Fewer than half of the
     * values can't move it beyond those of the others. NaN if there are none.
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
     * The mean without a fraction of the values at each end, at least one of three or more. As many
     * malicious values as are cut off at one end can't move it beyond the range of the others.
     *
     * @param fraction cut off at each end, 0 to below 0.5
     * @throws IllegalArgumentException if the fraction is out of range
     */
    public static double trimmedMean(Collection<Double> values, double fraction) {
        if (!(fraction >= 0 && fraction < 0.5)) {
            throw new IllegalArgumentException(
                    "a fraction of " + fraction + " can't be cut off at each end");
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
     * A shrinkage estimate: between a prior and the value of the samples, by how many there are.
     *
     * @param prior the estimate without samples
     * @param priorWeight number of samples that the prior is worth, above 0
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
