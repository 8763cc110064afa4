package loadbalancer.policy.data;

/**
 * The minimum of recent samples. The value rises with time, so that an old sample loses its effect.
 */
public final class DecayingMinimum {
    private final double logDriftPerMicro;
    private double value;
    private long updatedAtMicros;

    /**
     * Creates a minimum whose natural logarithm rises by {@code logDriftPerMicro} per microsecond.
     */
    public DecayingMinimum(double logDriftPerMicro) {
        this.logDriftPerMicro = logDriftPerMicro;
    }

    /** Replaces the value by one that was known at an earlier time; 0 means no sample. */
    public void restart(double knownValue, long knownAtMicros) {
        value = knownValue;
        updatedAtMicros = knownAtMicros;
    }

    /** Adds a sample. */
    public void sample(double sample, long nowMicros) {
        double drifted = value * Math.exp((nowMicros - updatedAtMicros) * logDriftPerMicro);
        value = value == 0 ? sample : Math.min(sample, drifted);
        updatedAtMicros = nowMicros;
    }

    /**
     * Returns the minimum as of the last sample, in the unit of the samples; 0 before the first.
     */
    public double value() {
        return value;
    }
}
