package loadbalancer.rollout.analysis;

import java.util.ArrayList;
import java.util.List;

/**
 * The changes of baseline and canary balancers from their own pre-change baselines, for a zone or
 * all zones, in one observation of one metric. Values are on the metric's scale. Not thread-safe.
 */
final class ZoneCohorts {
    private final List<Double> baselineChanges = new ArrayList<>();
    private final List<Double> canaryChanges = new ArrayList<>();
    private double baselineVarianceSum;
    private double canaryVarianceSum;

    /**
     * Adds a balancer.
     *
     * @param change value of the balancer minus the median of its pre-change baseline
     * @param medianVariance variance of that median
     */
    void add(boolean isCanary, double change, double medianVariance) {
        if (isCanary) {
            canaryChanges.add(change);
            canaryVarianceSum += medianVariance;
        } else {
            baselineChanges.add(change);
            baselineVarianceSum += medianVariance;
        }
    }

    boolean hasBothCohorts() {
        return !baselineChanges.isEmpty() && !canaryChanges.isEmpty();
    }

    /**
     * Adds this zone's changes to {@code total}, relative to the median of the zone. Zones with
     * only one cohort are skipped. Zones whose baseline balancers changed by more than {@code
     * incidentThreshold} are skipped too, since an incident of their upstreams affects each
     * balancer differently.
     */
    void addTo(ZoneCohorts total, double bound, double incidentThreshold) {
        if (!hasBothCohorts() || baselineShift() > incidentThreshold) {
            return;
        }
        List<Double> allChanges = new ArrayList<>(baselineChanges);
        allChanges.addAll(canaryChanges);
        double median = CohortStatistics.median(CohortStatistics.toArray(allChanges));
        for (double change : baselineChanges) {
            total.baselineChanges.add(CohortStatistics.clamp(change - median, bound));
        }
        for (double change : canaryChanges) {
            total.canaryChanges.add(CohortStatistics.clamp(change - median, bound));
        }
        total.baselineVarianceSum += baselineVarianceSum;
        total.canaryVarianceSum += canaryVarianceSum;
    }

    private double baselineShift() {
        return Math.abs(CohortStatistics.median(CohortStatistics.toArray(baselineChanges)));
    }

    /** Returns the amount by which the canary is worse than the baseline. */
    double difference() {
        return CohortStatistics.trimmedMean(CohortStatistics.toArray(canaryChanges))
                - CohortStatistics.trimmedMean(CohortStatistics.toArray(baselineChanges));
    }

    /** Returns the variance of the difference due to the pre-change baselines. */
    double baselineVariance() {
        return baselineVarianceSum / baselineChanges.size() / baselineChanges.size()
                + canaryVarianceSum / canaryChanges.size() / canaryChanges.size();
    }
}
