package loadbalancer;

/**
 * A class of requests.
 *
 * @param latencyObjectiveMicros response time up to which a response has its full value
 * @param objectiveWorkMultiple multiple of the request's own work that is added to the objective
 * @param clientTimeoutMicros total time that a client waits, over all its retries
 * @param priorityWeight value of a response within the objective
 * @param lateResponseRatio fraction of that value for a response after the objective
 * @param idempotencyScope endpoints that discard repeats, for {@link Idempotency#KEYED}
 * @param idempotencyWindowMicros time for which they discard repeats, from the first attempt that
 *     may have been executed
 * @param isStreaming whether responses are streamed
 */
public record RequestClass(
        String name,
        long latencyObjectiveMicros,
        double objectiveWorkMultiple,
        long clientTimeoutMicros,
        double priorityWeight,
        double lateResponseRatio,
        Idempotency idempotency,
        IdempotencyScope idempotencyScope,
        long idempotencyWindowMicros,
        boolean isStreaming) {}
