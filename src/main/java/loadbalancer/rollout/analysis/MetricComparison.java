package loadbalancer.rollout.analysis;

import loadbalancer.rollout.plan.Metric;

/**
 * Compares the canary with the baseline in one metric of a metric group within a stage. Two
 * sequential tests run on the same differences. The regression test detects that the canary is
 * worse by more than half of the margin; the non-inferiority test shows that it is not worse by the
 * whole margin. The gap between both allows for the error of the pre-change baseline.
 *
 * <p>Values are on the metric's scale ({@link Metric#toMetricScale}). Not thread-safe.
 */
final class MetricComparison {
    /** Limit, in margins, to which the deviation of a single observation is clamped. */
    private static final double MAX_MARGINS = 5;

    /** A change of the baseline balancers by more margins than this indicates an incident. */
    private static final double INCIDENT_MARGINS = 3;

    /**
     * Number of standard errors of the pre-change baseline that a regression must exceed. The error
     * is constant during the stage, so that further observations do not average it out.
     */
    private static final double BASELINE_STANDARD_ERRORS = 2;

    /** Maximum probability, per metric, that a canary worse by the whole margin passes. */
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

    /** Discards all observations when a new stage begins. */
    void restart() {
        regressionTest = new SequentialTest();
        nonInferiorityTest = new SequentialTest();
    }

    /** Returns the value to which the deviation of a balancer is limited. */
    double deviationBound() {
        return MAX_MARGINS * margin;
    }

    /**
     * Returns the change of a zone's baseline balancers above which the zone counts as having an
     * incident, and its data is not evidence about the program.
     */
    double incidentThreshold() {
        return INCIDENT_MARGINS * margin;
    }

    /**
     * Adds the difference of one observation.
     *
     * @param difference amount by which the canary is worse
     * @param baselineVariance variance of the difference due to the pre-change baselines
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

    /** Returns whether the log e-value of a regression has reached {@code logThreshold}. */
    boolean isRegression(double logThreshold) {
        return regressionTest.logEValue() >= logThreshold;
    }

    boolean isNonInferior() {
        return nonInferiorityTest.logEValue() >= LOG_PASS_THRESHOLD;
    }

    /** Returns whether a baseline of a given variance is precise enough for this margin. */
    boolean isBaselinePreciseEnough(double baselineVariance) {
        return BASELINE_STANDARD_ERRORS * Math.sqrt(baselineVariance) <= margin / 2;
    }
}
