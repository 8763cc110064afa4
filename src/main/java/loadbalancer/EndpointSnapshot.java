package loadbalancer;

/**
 * The measurements of one endpoint at an instance.
 *
 * @param launchedAtMicros start time of the measured process; the measurements do not apply to
 *     another process with the same id
 * @param sinceLastResponseMicros time since its last response; -1 if it has given none
 * @param logWeight natural logarithm of its utilization weight
 * @param concurrencyLimit concurrency limit of this balancer, in requests
 * @param minUnitDurationMicros recent minimum of the service time per microsecond of work, or per
 *     request if requests carry no work hint
 * @param responseTimeMicros smoothed response time
 * @param responseTimePerQueuedMicros smoothed response time per request in its queue
 * @param errorRatio smoothed fraction of errors
 * @param ejectionLeftMicros remaining time of its ejection; 0 if it is not ejected
 * @param nextEjectionMicros duration of its next ejection
 * @param completedWorkRate microseconds of work done for this balancer per microsecond
 * @param slowStartTokens microseconds of work left in its slow-start bucket
 * @param inFlightRequests requests that this balancer has in flight at the endpoint
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
