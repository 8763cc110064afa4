package loadbalancer.policy.data;

/** The minimum of recent samples. It rises with time, so that an old sample loses its effect. */
public final class DecayingMinimum {
    private final double logDriftPerMicro;
    private double value;
    private long updatedAtMicros;

    /** Creates one whose natural logarithm rises by {@code logDriftPerMicro} each microsecond. */
    public DecayingMinimum(double logDriftPerMicro) {
        this.logDriftPerMicro = logDriftPerMicro;
    }

    /** Restarts from a value known at an earlier time; 0 means no sample. */
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

    /** The minimum as of the last sample, in the samples' unit; 0 before the first. */
    public double value() {
        return value;
    }
}
