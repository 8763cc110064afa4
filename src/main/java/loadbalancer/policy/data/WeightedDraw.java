package loadbalancer.policy.data;

/** A random draw in proportion to weights. */
public final class WeightedDraw {
    private WeightedDraw() {}

    /**
     * The index that is drawn; -1 if no weight is above 0.
     *
     * @param sum of the weights; where rounding leaves it a little too large, the last index with a
     *     weight above 0 may be drawn in place of none
     * @param uniform random number from 0 to below 1
     */
    public static int draw(double[] weights, double sum, double uniform) {
        double remaining = uniform * sum;
        int last = -1;
        for (int i = 0; i < weights.length && remaining >= 0; i++) {
            remaining -= weights[i];
            last = weights[i] > 0 ? i : last;
        }
        return last;
    }
}
