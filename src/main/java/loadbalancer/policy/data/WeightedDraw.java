package loadbalancer.policy.data;

/** Random choice in proportion to weights. */
public final class WeightedDraw {
    private WeightedDraw() {}

    /**
     * Returns a random index; -1 if no weight is above 0.
     *
     * @param weights the weights; 0 or more
     * @param sum sum of the weights; if rounding makes it slightly too large, the last index with a
     *     weight above 0 may be returned in place of none
     * @param uniform random number from 0 to below 1
     */
    public static int draw(double[] weights, double sum, double uniform) {
        double remaining = uniform * sum;
        int lastPositive = -1;
        for (int i = 0; i < weights.length && remaining >= 0; i++) {
            remaining -= weights[i];
            lastPositive = weights[i] > 0 ? i : lastPositive;
        }
        return lastPositive;
    }
}
