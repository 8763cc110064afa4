package loadbalancer.policy.data;

/** A draw in proportion to weights. */
public final class WeightedDraw {
    private WeightedDraw() {}

    /**
     * The place that is drawn; -1 if no weight is above 0.
     *
     * @param sum of the weights; rounding may leave it a little off, and then the last above 0 is
     *     drawn
     * @param u from 0 to below 1
     */
    public static int draw(double[] weights, double sum, double u) {
        double x = u * sum;
        int last = -1;
        for (int i = 0; i < weights.length && x >= 0; i++) {
            x -= weights[i];
            last = weights[i] > 0 ? i : last;
        }
        return last;
    }
}
