package loadbalancer.rollout.plan;

/**
 * How long a stage lasts.
 *
 * @param before seconds of figures of the old program before anything changes, 60 to 3,600
 * @param requests that the new program has served in a stage at least
 * @param seconds that it has served at least, 30 to 86,400
 * @param longest seconds after which a stage that has not passed has failed, at most 7 days
 */
public record Exposure(long before, long requests, long seconds, long longest) {}
