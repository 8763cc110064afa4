package loadbalancer;

/**
 * The end of an attempt.
 *
 * @param attemptIndex index among the attempts of the request, from 0
 * @param durationMicros time since the attempt was sent
 * @param isRequestConcluded whether no final response is owed for the request any more
 * @param loadReport what the endpoint reported along with its response; null if nothing
 */
public record AttemptResult(
        String requestId,
        int attemptIndex,
        String endpointId,
        AttemptOutcome outcome,
        long durationMicros,
        boolean isRequestConcluded,
        LoadReport loadReport) {}
