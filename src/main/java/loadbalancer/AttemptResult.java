package loadbalancer;

/**
 * The result of an attempt.
 *
 * @param attemptIndex index among the attempts of the request, from 0
 * @param durationMicros time since the attempt was sent
 * @param isRequestConcluded whether the request needs no final response any more
 * @param loadReport the load report that the endpoint sent with its response; null if there was
 *     none
 */
public record AttemptResult(
        String requestId,
        int attemptIndex,
        String endpointId,
        AttemptOutcome outcome,
        long durationMicros,
        boolean isRequestConcluded,
        LoadReport loadReport) {}
