package loadbalancer.rollout.analysis;

import loadbalancer.rollout.plan.Metric;

/**
 * Canary against baseline in one metric of one metric group, within one stage. Two sequential tests
 * run on the same differences: one for a regression, that the canary is worse by more than half of
 * the margin, and one for non-inferiority, that it is not worse by the whole margin. Between the
 * two lies what the error of the pre-change baseline may hide.
 *
 * <p>Values are on the metric's scale ({@link Metric#toMetricScale}). Not thread-safe.
 */
final class MetricComparison {
    /** A single observation counts for so many margins at most. */
    private static final double MAX_MARGINS = 5;

    /** Baseline balancers that changed by so many margins have an incident of their own. */
    private static final double INCIDENT_MARGINS = 3;

    /**
     * Standard errors of the pre-change baseline that a regression has to exceed. That error stays
     * for the whole stage, so that no test can average it away.
     */
    private static final double BASELINE_STANDARD_ERRORS = 2;

    /** Chance, for each metric, that one that is worse by the whole margin passes. */
    private static final double FALSE_PASS_PROBABILITY = 0.05;

    private static final double LOG_PASS_THRESHOLD = Math.log(1 / FALSE_PASS_PROBABILITY);

    private final Metric metric;
    private final double margin;
    private SequentialTest regressionTest = new SequentialTest();
    private SequentialTest nonInferiorityTest = new SequentialTest();

    MetricComparison(Metric metric, double margin) {
        this.metric = metric;
        this.margin = margin;
    }

    Metric metric() {
        return metric;
    }

    double margin() {
        return margin;
    }

    /** Forgets all observations: a new stage begins. */
    void restart() {
        regressionTest = new SequentialTest();
        nonInferiorityTest = new SequentialTest();
    }

    /** The largest deviation with which a balancer counts. */
    double deviationBound() {
        return MAX_MARGINS * margin;
    }

    /**
     * Where the baseline balancers of a zone changed by more than this, the zone has an incident
     * and says nothing about the program.
     */
    double incidentThreshold() {
        return INCIDENT_MARGINS * margin;
    }

    /**
     * Adds the difference of one observation.
     *
     * @param difference by how much the canary is worse
     * @param baselineVariance variance that the pre-change baselines of both cohorts leave in it
     */
    void observe(double difference, double baselineVariance) {
        double bound = deviationBound();
        double clamped = CohortStatistics.clamp(difference, bound);
        double allowed =
                Math.min(
                        bound, margin / 2 + BASELINE_STANDARD_ERRORS * Math.sqrt(baselineVariance));
        regressionTest.observe(clamped - allowed, bound + allowed);
        nonInferiorityTest.observe(margin - clamped, bound - margin);
    }

    /** Whether the evidence for a regression has reached the threshold, a natural logarithm. */
    boolean isRegression(double logThreshold) {
        return regressionTest.logEValue() >= logThreshold;
    }

    boolean isNonInferior() {
        return nonInferiorityTest.logEValue() >= LOG_PASS_THRESHOLD;
    }

    /** Whether a baseline of that variance is known well enough for this margin. */
    boolean isBaselinePreciseEnough(double baselineVariance) {
        return BASELINE_STANDARD_ERRORS * Math.sqrt(baselineVariance) <= margin / 2;
    }
}
