package loadbalancer;

/**
 * Discounts restored state by its age. Each value returns, with a half-life of its own, to the
 * initial value of an instance without restored state. Values that depend on the hardware stay
 * valid for long, values that depend on the current traffic do not. All times are in microseconds.
 * Stateless.
 */
public final class StateRestoration {
    /** Half-life of the concurrency limit, which depends on the traffic of all balancers. */
    public static final long CONCURRENCY_LIMIT_HALF_LIFE_MICROS = 60_000_000;

    /** Half-life of the utilization weight, which load reports correct every few seconds. */
    public static final long WEIGHT_HALF_LIFE_MICROS = 30_000_000;

    /** Half-life of service times, which depend on the machine and the work. */
    public static final long SERVICE_TIME_HALF_LIFE_MICROS = 600_000_000;

    /** Half-life of the error ratio. */
    public static final long ERROR_RATIO_HALF_LIFE_MICROS = 10_000_000;

    /** Half-life of the rates of requests and work. */
    public static final long RATE_HALF_LIFE_MICROS = 60_000_000;

    /** Half-life of the trust in an endpoint that discovery has not confirmed. */
    public static final long LIST_TRUST_HALF_LIFE_MICROS = 120_000_000;

    /** Minimum remaining fraction of service times; below it they are dropped. */
    private static final double MIN_SERVICE_TIME_TRUST = 0.5;

    private StateRestoration() {}

    /** Returns the fraction of a value that is left after {@code ageMicros}, from 1 to 0. */
    public static double remainingFraction(long ageMicros, long halfLifeMicros) {
        return Math.pow(0.5, Math.max(0, ageMicros) / (double) halfLifeMicros);
    }

    private static double interpolate(double initial, double saved, double savedFraction) {
        return initial + (saved - initial) * savedFraction;
    }

    /**
     * Returns a snapshot of an endpoint, discounted by its age; remaining times that have passed
     * are 0.
     *
     * @param initialLimit the concurrency limit of an endpoint without measurements, in requests
     * @param initialTimePerQueuedMicros the response time per queued request of an endpoint without
     *     measurements
     */
    public static EndpointSnapshot discounted(
            EndpointSnapshot saved,
            long ageMicros,
            double initialLimit,
            double initialTimePerQueuedMicros) {
        double serviceTimeFraction = remainingFraction(ageMicros, SERVICE_TIME_HALF_LIFE_MICROS);
        boolean hasServiceTimes = serviceTimeFraction >= MIN_SERVICE_TIME_TRUST;
        return new EndpointSnapshot(
                saved.id(),
                saved.launchedAtMicros(),
                saved.sinceLastResponseMicros() < 0
                        ? -1
                        : saved.sinceLastResponseMicros() + ageMicros,
                saved.logWeight() * remainingFraction(ageMicros, WEIGHT_HALF_LIFE_MICROS),
                interpolate(
                        initialLimit,
                        saved.concurrencyLimit(),
                        remainingFraction(ageMicros, CONCURRENCY_LIMIT_HALF_LIFE_MICROS)),
                hasServiceTimes ? saved.minUnitDurationMicros() : 0,
                hasServiceTimes ? saved.responseTimeMicros() : 0,
                interpolate(
                        initialTimePerQueuedMicros,
                        saved.responseTimePerQueuedMicros(),
                        serviceTimeFraction),
                saved.errorRatio() * remainingFraction(ageMicros, ERROR_RATIO_HALF_LIFE_MICROS),
                Math.max(0, saved.ejectionLeftMicros() - ageMicros),
                saved.nextEjectionMicros(),
                saved.completedWorkRate() * remainingFraction(ageMicros, RATE_HALF_LIFE_MICROS),
                saved.slowStartTokens(),
                saved.inFlightRequests());
    }
}
