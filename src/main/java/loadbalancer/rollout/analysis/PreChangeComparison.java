package loadbalancer.rollout.analysis;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import loadbalancer.rollout.plan.Metric;

/**
 * Both cohorts together against their pre-change baseline. A canary that overloads a shared
 * resource makes the baseline cohort look as bad, and is no worse beside it. That can't be told
 * from an incident of the upstreams, so it is no regression: as long as it lasts the stage waits.
 *
 * <p>Values are on the metric's scale. Not thread-safe.
 */
final class PreChangeComparison {
    /** Of the moving average: about a minute of windows. */
    private static final double SMOOTHING_FACTOR = 1 / 12.0;

    /** The usual drift within a stage is below so many margins. */
    private static final double MARGINS = 2;

    private final double[] averageChanges;

    /** For so many metrics. */
    PreChangeComparison(int metrics) {
        averageChanges = new double[metrics];
    }

    /** A new stage begins. */
    void restart() {
        Arrays.fill(averageChanges, 0);
    }

    /** Adds the changes of all balancers in the metric with that index; each counts up to bound. */
    void observe(int metricIndex, double bound, List<Double> changes) {
        if (!changes.isEmpty()) {
            double mean = CohortStatistics.trimmedMean(CohortStatistics.toArray(changes));
            averageChanges[metricIndex] +=
                    SMOOTHING_FACTOR
                            * (CohortStatistics.clamp(mean, bound) - averageChanges[metricIndex]);
        }
    }

    /** The first metric that is worse than before the change by more than twice its margin. */
    Optional<Metric> worseMetric(List<MetricComparison> comparisons) {
        for (int i = 0; i < averageChanges.length; i++) {
            if (averageChanges[i] > MARGINS * comparisons.get(i).margin()) {
                return Optional.of(comparisons.get(i).metric());
            }
        }
        return Optional.empty();
    }
}
