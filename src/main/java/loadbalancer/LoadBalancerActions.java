package loadbalancer;

/**
 * Receives the decisions of a {@link LoadBalancer}. Each call is made from within an event and
 * takes effect at the time of that event. Durations are in microseconds.
 */
public interface LoadBalancerActions {
    /**
     * Starts an attempt.
     *
     * @param timeoutMicros time after which the attempt ends; 0 lets it run until the client's
     *     deadline
     */
    void sendAttempt(String requestId, String endpointId, long timeoutMicros);

    /**
     * Gives the final response that the request was rejected and is safe to retry.
     *
     * @param retryAfterMicros time after which the client should retry; 0 gives no advice
     */
    void reject(String requestId, long retryAfterMicros);

    /** Gives the final response that the request failed and may have been executed. */
    void fail(String requestId);

    /** Cancels an attempt. */
    void cancelAttempt(String requestId, int attemptIndex);

    /** Schedules a call of {@link LoadBalancer#timerExpired} after {@code delayMicros}. */
    void scheduleTimer(String token, long delayMicros);

    /**
     * Probes an endpoint for its load. The result arrives through {@link
     * LoadBalancer#probeCompleted}.
     */
    void probeEndpoint(String endpointId);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpointId);

    /** Subscribes to changes of the endpoint list, or unsubscribes. */
    void watchEndpointList(boolean isWatching);

    /** Fetches the complete endpoint list once. */
    void fetchEndpointList();

    /** Sends a message to one peer, or to all of them if {@code peerIndex} is negative. */
    void sendToPeer(int peerIndex, byte[] message);

    /** Writes a line to the log. */
    void log(String message);
}
