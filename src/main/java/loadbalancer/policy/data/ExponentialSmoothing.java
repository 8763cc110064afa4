package loadbalancer.policy.data;

/** Exponential smoothing (exponentially weighted moving average). */
public final class ExponentialSmoothing {
    private ExponentialSmoothing() {}

    /**
     * Moves an average towards a sample.
     *
     * @param average 0 if there was no sample yet; the first sample is taken as it is
     * @param factor fraction of the distance to move, from 0 to 1
     */
    public static double smooth(double average, double sample, double factor) {
        return average == 0 ? sample : average + factor * (sample - average);
    }
}
