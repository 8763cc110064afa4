package loadbalancer.rollout.analysis;

/**
 * A sequential test of one hypothesis on a bounded mean, as an e-process: where the hypothesis
 * holds, the e-value is a non-negative supermartingale that begins at 1, so the chance that it ever
 * reaches 1/alpha is alpha at most, however often it is read (Ville 1939). The e-process is a
 * mixture over a grid of constant betting fractions (Waudby-Smith and Ramdas, "Estimating means of
 * bounded random variables by betting", JRSS B 2024). It grows nearly like the best fraction of the
 * grid and needs no estimate of the variance.
 *
 * <p>No observation more than doubles the e-value, so fewer than log2(1/alpha) observations never
 * decide.
 *
 * <p>Not thread-safe. Knows no clock; values have the unit of the compared metric.
 */
final class SequentialTest {
    /** Each fraction is half of the one before: the smallest detects differences of about 1%. */
    private static final int BETTING_FRACTIONS = 8;

    /** Below 1, since an e-value of 0 could never recover. */
    private static final double MAX_BETTING_FRACTION = 0.99;

    private final double[] logEValues = new double[BETTING_FRACTIONS];

    /**
     * Adds one observation.
     *
     * @param payoff of mean 0 or less where the hypothesis holds
     * @param maxLoss the payoff is never below its negative; fixed before the observation
     */
    void observe(double payoff, double maxLoss) {
        double relativePayoff = Math.max(-1, payoff / maxLoss);
        for (int i = 0; i < BETTING_FRACTIONS; i++) {
            logEValues[i] += Math.log1p(MAX_BETTING_FRACTION * Math.scalb(relativePayoff, -i));
        }
    }

    /** Natural logarithm of the e-value: the evidence against the hypothesis. */
    double logEValue() {
        double largest = Double.NEGATIVE_INFINITY;
        for (double logEValue : logEValues) {
            largest = Math.max(largest, logEValue);
        }
        double sum = 0;
        for (double logEValue : logEValues) {
            sum += Math.exp(logEValue - largest);
        }
        return largest + Math.log(sum / BETTING_FRACTIONS);
    }
}
