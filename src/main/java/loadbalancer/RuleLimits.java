package loadbalancer;

/**
 * The limits in the rules that the service must follow.
 *
 * @param finalResponseSlackMicros time after the client's deadline within which the final response
 *     still counts
 * @param maxListAgeMicros for a polled endpoint list: how long an entry counts as known after it
 *     was listed; four times as long after a failed call
 * @param initialCapacityRatio minimum fraction of its full capacity that a starting endpoint has
 * @param slowStartMicros time after which a started endpoint has its full capacity
 * @param drainGraceMicros time within which attempts to a draining or removed endpoint must stop
 * @param overloadCapacityMultiple multiple of its current capacity above which a starting endpoint
 *     fails
 * @param overloadWindowMicros time over which that multiple is measured
 */
public record RuleLimits(
        long finalResponseSlackMicros,
        long maxListAgeMicros,
        double initialCapacityRatio,
        long slowStartMicros,
        long drainGraceMicros,
        double overloadCapacityMultiple,
        long overloadWindowMicros) {}
