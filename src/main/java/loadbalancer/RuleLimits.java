package loadbalancer;

/**
 * The limits of the rules that the service must keep.
 *
 * @param finalResponseSlackMicros time after the client's deadline within which the final response
 *     still counts
 * @param maxListAgeMicros where the endpoint list is polled: what was listed so long ago counts as
 *     known; four times as long after a failed call
 * @param initialCapacityRatio part of its capacity that a starting endpoint has at least
 * @param slowStartMicros after which a started endpoint has its full capacity
 * @param drainGraceMicros time within which attempts to a draining or removed endpoint must stop
 * @param overloadCapacityMultiple a starting endpoint fails when it gets more than this multiple of
 *     its present capacity
 * @param overloadWindowMicros for this time
 */
public record RuleLimits(
        long finalResponseSlackMicros,
        long maxListAgeMicros,
        double initialCapacityRatio,
        long slowStartMicros,
        long drainGraceMicros,
        double overloadCapacityMultiple,
        long overloadWindowMicros) {}
