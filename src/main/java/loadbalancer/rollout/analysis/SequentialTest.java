package loadbalancer.rollout.analysis;

/**
 * Tests one hypothesis on a bounded mean sequentially, with an e-process. If the hypothesis is
 * true, the e-value is a non-negative supermartingale that starts at 1, so the probability that it
 * ever reaches 1/alpha is at most alpha, however often it is read (Ville 1939). The e-process is a
 * mixture over a grid of constant betting fractions (Waudby-Smith and Ramdas, "Estimating means of
 * bounded random variables by betting", JRSS B 2024). It grows almost as fast as with the best
 * fraction of the grid and needs no estimate of the variance.
 *
 * <p>An observation at most doubles the e-value, so fewer than log2(1/alpha) observations never
 * lead to a decision.
 *
 * <p>Not thread-safe. No clock is read; values have the unit of the compared metric.
 */
final class SequentialTest {
    /** Each fraction is half of the previous one; the smallest detects differences of about 1%. */
    private static final int BETTING_FRACTIONS = 8;

    /** Below 1, since an e-value of 0 could never recover. */
    private static final double MAX_BETTING_FRACTION = 0.99;

    private final double[] logEValues = new double[BETTING_FRACTIONS];

    /**
     * Adds one observation.
     *
     * @param payoff value whose mean is 0 or less if the hypothesis is true
     * @param maxLoss largest possible loss, fixed before the observation; the payoff is at least
     *     its negative
     */
    void observe(double payoff, double maxLoss) {
        double relativePayoff = Math.max(-1, payoff / maxLoss);
        for (int i = 0; i < BETTING_FRACTIONS; i++) {
            logEValues[i] += Math.log1p(MAX_BETTING_FRACTION * Math.scalb(relativePayoff, -i));
        }
    }

    /** Returns the natural logarithm of the e-value, the evidence against the hypothesis. */
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
