package loadbalancer.settings;

/** Conversion of the platform's seconds to the microseconds of the load-balancing policy. */
public final class TimeUnits {
    private static final double MICROS_PER_SECOND = 1e6;

    private TimeUnits() {}

    /** Returns a time in whole microseconds, rounded to the nearest. */
    public static long secondsToMicros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }
}
