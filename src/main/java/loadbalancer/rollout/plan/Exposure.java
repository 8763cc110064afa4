package loadbalancer.rollout.plan;

/**
 * The duration and traffic that a stage requires.
 *
 * @param baselineSeconds seconds of metrics of the old program before the first change, 60 to 3,600
 * @param minRequests requests that the new program must have served in a stage
 * @param minSeconds seconds for which the new program must have served, 30 to 86,400
 * @param maxSeconds seconds after which a stage that has not passed fails, from twice {@code
 *     minSeconds} to 7 days
 */
public record Exposure(long baselineSeconds, long minRequests, long minSeconds, long maxSeconds) {}
