package loadbalancer.settings;

/** Conversion of the platform's seconds to the microseconds of the load-balancing policy. */
public final class Micros {
    private static final double MICROS_PER_SECOND = 1e6;

    private Micros() {}

    /** Returns a time in whole microseconds, rounded to the nearest. */
    public static long fromSeconds(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }
}
