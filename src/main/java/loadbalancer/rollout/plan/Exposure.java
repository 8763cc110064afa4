package loadbalancer.rollout.plan;

/**
 * How long a stage lasts.
 *
 * @param baselineSeconds of metrics of the old program before anything changes, 60 to 3,600
 * @param minRequests that the new program must have served in a stage
 * @param minSeconds for which it must have served, 30 to 86,400
 * @param maxSeconds after which a stage that has not passed has failed, 2 {@code minSeconds} to 7
 *     days
 */
public record Exposure(long baselineSeconds, long minRequests, long minSeconds, long maxSeconds) {}
