package loadbalancer.settings;

/** Converts times from seconds, the platform's unit, to microseconds, the policy's unit. */
public final class Micros {
    private static final double MICROS_PER_SECOND = 1e6;

    private Micros() {}

    /** Returns a time in microseconds, rounded to the nearest integer. */
    public static long fromSeconds(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }
}
