package loadbalancer.policy.state;

/** Special timestamps, in microseconds of the policy's clock. */
public final class Timestamps {
    /** A time before all others; differences from it do not overflow. */
    public static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private Timestamps() {}
}
