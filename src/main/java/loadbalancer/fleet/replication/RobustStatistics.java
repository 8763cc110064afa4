package loadbalancer.fleet.replication;

import java.util.Arrays;
import java.util.Collection;

/**
 * Figures from what several members state, on which one that lies has little influence: Huber,
 * Robust Statistics (1981). Not-a-numbers and infinities don't count.
 */
public final class RobustStatistics {
    private RobustStatistics() {}

    /**
     * The middle one; the mean of the middle two of an even number. Fewer than half of the values
     * can't move it beyond those of the others. Not a number if there are none.
     */
    public static double median(Collection<Double> values) {
        double[] sorted = sorted(values);
        int n = sorted.length;
        return n == 0
                ? Double.NaN
                : sorted[(n - 1) / 2] + (sorted[n / 2] - sorted[(n - 1) / 2]) / 2;
    }

    /**
     * The mean without a share of the least and as many of the greatest, at least one each of three
     * or more. As many liars as are cut off at one end can't move it beyond the others' least and
     * greatest.
     *
     * @param share cut off at each end, 0 to below 0.5
     */
    public static double trimmedMean(Collection<Double> values, double share) {
        if (!(share >= 0 && share < 0.5)) {
            throw new IllegalArgumentException(
                    "a share of " + share + " can't be cut off at each end");
        }
        double[] sorted = sorted(values);
        int n = sorted.length;
        int cut = Math.max((int) (share * n), n >= 3 ? 1 : 0);
        double sum = 0;
        for (int i = cut; i < n - cut; i++) {
            sum += sorted[i] / (n - 2 * cut);
        }
        return n == 0 ? Double.NaN : sum;
    }

    /**
     * A value between what is held without samples and what the samples say, by how many there are.
     *
     * @param prior what is held without
     * @param weight as many samples as the prior is worth, above 0
     */
    public static double shrunk(double value, int samples, double prior, double weight) {
        return samples == 0 || !Double.isFinite(value)
                ? prior
                : prior + (value - prior) * samples / (samples + weight);
    }

    private static double[] sorted(Collection<Double> values) {
        double[] sorted =
                values.stream().filter(Double::isFinite).mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(sorted);
        return sorted;
    }
}
