package loadbalancer.policy.data;

/** Exponential smoothing (exponentially weighted moving average). */
public final class ExponentialSmoothing {
    private ExponentialSmoothing() {}

    /**
     * Returns an average moved towards a sample.
     *
     * @param average the average so far; 0 if there is no sample yet, so that the first sample is
     *     returned unchanged
     * @param factor fraction of the distance to move, from 0 to 1
     */
    public static double smooth(double average, double sample, double factor) {
        return average == 0 ? sample : average + factor * (sample - average);
    }
}
