package loadbalancer;

/**
 * How far restored state is trusted by its age. Each value returns, by a half-life of its own, to
 * what an instance without restored state begins with: what depends on the hardware holds for long,
 * what depends on the present traffic does not. All times are microseconds. Stateless.
 */
public final class StateRestoration {
    /** Of the concurrency limit, which follows the traffic of all balancers. */
    public static final long CONCURRENCY_LIMIT_HALF_LIFE_MICROS = 60_000_000;

    /** Of the weight, which load reports correct every few seconds. */
    public static final long WEIGHT_HALF_LIFE_MICROS = 30_000_000;

    /** Of service times, which depend on the machine and the work. */
    public static final long SERVICE_TIME_HALF_LIFE_MICROS = 600_000_000;

    /** Of the ratio of errors. */
    public static final long ERROR_RATIO_HALF_LIFE_MICROS = 10_000_000;

    /** Of rates of requests and of work. */
    public static final long RATE_HALF_LIFE_MICROS = 60_000_000;

    /** Of the trust in an endpoint that discovery has not confirmed. */
    public static final long LIST_TRUST_HALF_LIFE_MICROS = 120_000_000;

    /** Service times that have decayed further than this are dropped. */
    private static final double MIN_SERVICE_TIME_TRUST = 0.5;

    private StateRestoration() {}

    /** Returns the part of a value that is left after {@code ageMicros}, from 1 to 0. */
    public static double remainingFraction(long ageMicros, long halfLifeMicros) {
        return Math.pow(0.5, Math.max(0, ageMicros) / (double) halfLifeMicros);
    }

    private static double interpolate(double initial, double saved, double savedFraction) {
        return initial + (saved - initial) * savedFraction;
    }

    /**
     * Returns a snapshot of an endpoint as far as it is still trusted; times that have passed are
     * 0.
     *
     * @param initialLimit the concurrency limit where nothing is known, in requests
     * @param initialTimePerQueuedMicros the response time for each queued request where nothing is
     *     known
     */
    public static EndpointSnapshot discounted(
            EndpointSnapshot saved,
            long ageMicros,
            double initialLimit,
            double initialTimePerQueuedMicros) {
        double timesLeft = remainingFraction(ageMicros, SERVICE_TIME_HALF_LIFE_MICROS);
        boolean hasServiceTimes = timesLeft >= MIN_SERVICE_TIME_TRUST;
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
                        initialTimePerQueuedMicros, saved.responseTimePerQueuedMicros(), timesLeft),
                saved.errorRatio() * remainingFraction(ageMicros, ERROR_RATIO_HALF_LIFE_MICROS),
                Math.max(0, saved.ejectionLeftMicros() - ageMicros),
                saved.nextEjectionMicros(),
                saved.completedWorkRate() * remainingFraction(ageMicros, RATE_HALF_LIFE_MICROS),
                saved.slowStartTokens(),
                saved.inFlightRequests());
    }
}
