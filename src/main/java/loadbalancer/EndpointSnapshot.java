package loadbalancer;

/**
 * What an instance had measured of one endpoint.
 *
 * @param launchedAtMicros start of the process that was measured; it does not hold for another
 *     process under the same id
 * @param sinceLastResponseMicros time since its last response; -1 if it has given none
 * @param logWeight logarithm of its weight
 * @param concurrencyLimit of this balancer, in requests
 * @param minUnitDurationMicros least time lately for a unit of work, or for a request without a
 *     hint of its work
 * @param responseTimeMicros smoothed time of a response
 * @param responseTimePerQueuedMicros smoothed time of a response for each request in its queue
 * @param errorRatio smoothed ratio of errors
 * @param ejectionLeftMicros for how much longer it is ejected; 0 if it is not
 * @param nextEjectionMicros duration of the next ejection
 * @param completedWorkRate microseconds of work done for this balancer in each microsecond
 * @param slowStartTokens microseconds of work left in its slow-start bucket
 * @param inFlightRequests of this balancer
 */
public record EndpointSnapshot(
        String id,
        long launchedAtMicros,
        long sinceLastResponseMicros,
        double logWeight,
        double concurrencyLimit,
        double minUnitDurationMicros,
        double responseTimeMicros,
        double responseTimePerQueuedMicros,
        double errorRatio,
        long ejectionLeftMicros,
        long nextEjectionMicros,
        double completedWorkRate,
        double slowStartTokens,
        int inFlightRequests) {}
