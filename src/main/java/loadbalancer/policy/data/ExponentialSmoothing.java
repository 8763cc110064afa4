package loadbalancer.policy.data;

/** Exponential smoothing. */
public final class ExponentialSmoothing {
    private ExponentialSmoothing() {}

    /**
     * {@code old} moved by {@code share} of the way to the sample; the first sample is taken as it
     * is.
     */
    public static double into(double old, double sample, double share) {
        return old == 0 ? sample : old + share * (sample - old);
    }
}
