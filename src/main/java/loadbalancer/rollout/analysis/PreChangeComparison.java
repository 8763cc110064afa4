package loadbalancer.rollout.analysis;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import loadbalancer.rollout.plan.Metric;

/**
 * Compares both cohorts together with their pre-change baseline. A canary that overloads a shared
 * resource degrades the baseline cohort equally, so that their comparison shows no difference. This
 * cannot be distinguished from an incident of the upstreams, so it is not treated as a regression:
 * the stage waits while it lasts.
 *
 * <p>Values are on the metric's scale. Not thread-safe.
 */
final class PreChangeComparison {
    /** Weight of the latest value in the moving average, which covers about a minute. */
    private static final double SMOOTHING_FACTOR = 1 / 12.0;

    /** Number of margins that the usual drift within a stage does not exceed. */
    private static final double MARGINS = 2;

    private final double[] averageChanges;

    /** Creates a comparison of the given number of metrics. */
    PreChangeComparison(int metrics) {
        averageChanges = new double[metrics];
    }

    /** Discards all observations when a new stage begins. */
    void restart() {
        Arrays.fill(averageChanges, 0);
    }

    /** Adds the trimmed mean, limited to {@code bound}, of all changes in one metric. */
    void observe(int metricIndex, double bound, List<Double> changes) {
        if (!changes.isEmpty()) {
            double mean = CohortStatistics.trimmedMean(CohortStatistics.toArray(changes));
            averageChanges[metricIndex] +=
                    SMOOTHING_FACTOR
                            * (CohortStatistics.clamp(mean, bound) - averageChanges[metricIndex]);
        }
    }

    /** Returns the first metric that is worse than before by more than twice its margin. */
    Optional<Metric> worseMetric(List<MetricComparison> comparisons) {
        for (int i = 0; i < averageChanges.length; i++) {
            if (averageChanges[i] > MARGINS * comparisons.get(i).margin()) {
                return Optional.of(comparisons.get(i).metric());
            }
        }
        return Optional.empty();
    }
}
