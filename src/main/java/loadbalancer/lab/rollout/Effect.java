package loadbalancer.lab.rollout;

/**
 * What a new program does to metrics.
 *
 * @param failedRatio additional ratio of its requests that fail
 * @param responseTimeFactor on its response times
 * @param attemptsFactor on its attempts
 * @param sharedFailedRatio additional ratio of all requests that fail, of both cohorts, times the
 *     fraction of the fleet on the new program
 */
record Effect(
        String name,
        double failedRatio,
        double responseTimeFactor,
        double attemptsFactor,
        double sharedFailedRatio) {
    /** A program that is no different. */
    static final Effect NONE = new Effect("identical", 0, 1, 1, 0);

    /** A program that overloads a resource that both cohorts share. */
    static final Effect SHARED_OVERLOAD = new Effect("overloads a shared resource", 0, 1, 1, 0.5);

    static final Effect[] ALL = {
        NONE,
        new Effect("5% less served", 0.05, 1, 1, 0),
        new Effect("10% less served", 0.10, 1, 1, 0),
        new Effect("20% less served", 0.20, 1, 1, 0),
        new Effect("20% more time", 0, 1.2, 1, 0),
        new Effect("twice the attempts", 0, 1, 2, 0),
        SHARED_OVERLOAD
    };
}
