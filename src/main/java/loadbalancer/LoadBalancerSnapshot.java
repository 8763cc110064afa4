package loadbalancer;

import java.util.List;

/**
 * The measurements of an instance, exported for a later one.
 *
 * @param responseTimeMicros smoothed response time over all endpoints
 * @param responseTimePerQueuedMicros smoothed response time per request in the queue, over all
 *     endpoints
 * @param unitDurationMicros mean over the endpoints of the minimum service time per microsecond of
 *     work
 * @param warmWorkRate microseconds of work that a warm endpoint of capacity weight 1 does for this
 *     balancer per microsecond
 * @param requestCostMicros mean work of a request
 * @param requestsPerSecond arrival rate of requests
 */
public record LoadBalancerSnapshot(
        double responseTimeMicros,
        double responseTimePerQueuedMicros,
        double unitDurationMicros,
        double warmWorkRate,
        double requestCostMicros,
        double requestsPerSecond,
        List<ClassSnapshot> classes,
        List<EndpointSnapshot> endpoints) {
    /** A snapshot without measurements. */
    public static final LoadBalancerSnapshot EMPTY =
            new LoadBalancerSnapshot(0, 0, 0, 0, 0, 0, List.of(), List.of());
}
