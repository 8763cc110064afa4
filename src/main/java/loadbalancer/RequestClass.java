package loadbalancer;

/**
 * A class of requests.
 *
 * @param latencyObjectiveMicros responses within this time have the full value
 * @param objectiveWorkMultiple the objective is longer by this multiple of the request's own work
 * @param clientTimeoutMicros time that a client waits in all, over all its retries
 * @param priorityWeight value of a response within the objective
 * @param lateResponseRatio part of that value that a response after the objective still has
 * @param idempotencyScope which endpoints discard repeats, for {@link Idempotency#KEYED}
 * @param idempotencyWindowMicros for how long they do, from the first attempt that may have been
 *     executed
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
