package loadbalancer;

import java.util.List;

/**
 * What an instance had measured, for one that follows it.
 *
 * @param responseTimeMicros smoothed time of a response over all endpoints
 * @param responseTimePerQueuedMicros the same for each request in an endpoint's queue
 * @param unitDurationMicros mean over the endpoints of the least time for a unit of work
 * @param warmWorkRate microseconds of work that a warm endpoint of capacity weight 1 does for this
 *     balancer in each microsecond
 * @param requestCostMicros mean work of a request
 * @param requestsPerSecond requests that arrive
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
    /** Without measurements. */
    public static final LoadBalancerSnapshot EMPTY =
            new LoadBalancerSnapshot(0, 0, 0, 0, 0, 0, List.of(), List.of());
}
