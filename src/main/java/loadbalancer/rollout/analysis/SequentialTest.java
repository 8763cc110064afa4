package loadbalancer.rollout.analysis;

/**
 * Evidence against a hypothesis as the wealth of one who bets on its being wrong: where it holds,
 * wealth is a supermartingale that begins at 1, so that it ever reaches 1/a with a chance of a at
 * most (Ville 1939), however often one looks. Bets on bounded means after Waudby-Smith and Ramdas,
 * "Estimating means of bounded random variables by betting" (JRSS B 2024): a grid of constant
 * stakes with equal parts of the wealth, which grows nearly like the best of them and needs no
 * estimate of the spread.
 *
 * <p>No round more than doubles the wealth. So a spell of bad luck shorter than log2(1/a) rounds
 * can't decide.
 */
final class SequentialTest {
    /**
     * From nearly all that may be lost, each half of the one before: seven halvings reach
     * differences of 1%.
     */
    private static final int STAKES = 8;

    /** A wealth of 0 could never recover. */
    private static final double LARGEST = 0.99;

    private final double[] log = new double[STAKES];

    /**
     * One round.
     *
     * @param payoff of mean 0 or less where the hypothesis holds
     * @param worst the payoff is never below its negative; known before the round
     */
    void add(double payoff, double worst) {
        double share = Math.max(-1, payoff / worst);
        for (int i = 0; i < STAKES; i++) {
            log[i] += Math.log1p(LARGEST * Math.scalb(share, -i));
        }
    }

    /** Natural logarithm of the wealth. */
    double logWealth() {
        double top = Double.NEGATIVE_INFINITY;
        for (double l : log) {
            top = Math.max(top, l);
        }
        double sum = 0;
        for (double l : log) {
            sum += Math.exp(l - top);
        }
        return top + Math.log(sum / STAKES);
    }
}
