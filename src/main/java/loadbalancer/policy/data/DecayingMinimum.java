package loadbalancer.policy.data;

/** The least sample seen lately: it rises by itself, so that an old one does not hold for ever. */
public final class DecayingMinimum {
    private final double drift;
    private double value;
    private long at;

    /** One whose logarithm rises by {@code drift} for each microsecond. */
    public DecayingMinimum(double drift) {
        this.drift = drift;
    }

    /** Starts anew at a value of some time ago; 0 is none. */
    public void start(double known, long since) {
        value = known;
        at = since;
    }

    /** Takes in a sample. */
    public void sample(double sample, long now) {
        double drifted = value * Math.exp((now - at) * drift);
        value = value == 0 ? sample : Math.min(sample, drifted);
        at = now;
    }

    /** As of the last sample; 0 before the first. */
    public double value() {
        return value;
    }
}
