package loadbalancer.rollout.analysis;

import java.util.List;
import loadbalancer.rollout.plan.Metric;

/**
 * Both cohorts together against their time before: a new program that jams what all share makes the
 * old look as bad, and beside it no worse. That can't be told from upstreams that fail by
 * themselves. So it blames nobody: as long as it lasts the stage waits.
 */
final class PreChangeComparison {
    /** Over about a minute. */
    private static final double WEIGHT = 1 / 12.0;

    /** A day's own drift within a stage is below that; so is what the comparison of both allows. */
    private static final double MARGINS = 2;

    private final double[] change;

    PreChangeComparison(int metrics) {
        change = new double[metrics];
    }

    void restart() {
        java.util.Arrays.fill(change, 0);
    }

    void add(int metric, double bound, List<Double> changes) {
        if (!changes.isEmpty()) {
            double middle = RobustStatistics.trimmed(Zone.array(changes));
            change[metric] += WEIGHT * (Math.max(-bound, Math.min(bound, middle)) - change[metric]);
        }
    }

    Metric worse(List<Comparison> comparisons) {
        for (int m = 0; m < change.length; m++) {
            if (change[m] > MARGINS * comparisons.get(m).margin) {
                return comparisons.get(m).metric;
            }
        }
        return null;
    }
}
