package loadbalancer.policy.state;

/** Special points in time, in microseconds of the policy's clock. */
public final class Timestamps {
    /** Before all others; differences to it do not overflow. */
    public static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private Timestamps() {}
}
