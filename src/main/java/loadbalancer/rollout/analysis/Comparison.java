package loadbalancer.rollout.analysis;

import loadbalancer.rollout.plan.Metric;

/**
 * New beside old in one metric of one class, in one stage. Two bets run on the same differences:
 * that the new is worse by more than half the margin, which stops, and that it is not worse by the
 * whole, which lets go on. Between the two lies what the error of the time before may hide.
 */
final class Comparison {
    /**
     * A single unit counts for five margins at most: what goes beyond decides no sooner, and one
     * freak window weighs no more than a bad one.
     */
    private static final double BOUND = 5;

    /** Well beyond the chance of a quiet window; an incident that matters is beyond it by far. */
    private static final double INCIDENT = 3;

    /**
     * Errors of the time before stay for the whole stage, so that no test can average them away.
     */
    private static final double ERRORS = 2;

    /** A chance of 5% for each metric that one which is worse by the whole margin is let go on. */
    private static final double LOG_GO = Math.log(20);

    final Metric metric;
    final double margin;
    private SequentialTest worse = new SequentialTest();
    private SequentialTest wellEnough = new SequentialTest();

    Comparison(Metric metric, double margin) {
        this.metric = metric;
        this.margin = margin;
    }

    /** A new stage: what was bet before is over. */
    void restart() {
        worse = new SequentialTest();
        wellEnough = new SequentialTest();
    }

    /** At most so far from its middle does a balancer count. */
    double bound() {
        return BOUND * margin;
    }

    /**
     * Where the old balancers of a zone are as far from before, it is not the program that is
     * compared.
     */
    double incident() {
        return INCIDENT * margin;
    }

    /**
     * Takes the difference of a unit, and the variance that both cohorts' time before leaves in it.
     */
    void add(double difference, double error) {
        double bound = bound();
        double x = Math.max(-bound, Math.min(bound, difference));
        double allowed = Math.min(bound, margin / 2 + ERRORS * Math.sqrt(error));
        worse.add(x - allowed, bound + allowed);
        wellEnough.add(margin - x, bound - margin);
    }

    boolean isWorse(double logThreshold) {
        return worse.logWealth() >= logThreshold;
    }

    boolean isWellEnough() {
        return wellEnough.logWealth() >= LOG_GO;
    }

    /** Whether a time before is known well enough for this margin. */
    boolean knownBy(double typicalError) {
        return ERRORS * Math.sqrt(typicalError) <= margin / 2;
    }
}
