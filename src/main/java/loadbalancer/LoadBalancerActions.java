package loadbalancer;

/**
 * Where a {@link LoadBalancer} sends its decisions. Each call is made from within an event and
 * takes effect at the time of that event. Durations are microseconds.
 */
public interface LoadBalancerActions {
    /**
     * Starts an attempt.
     *
     * @param timeoutMicros after which the attempt ends; 0 lets it run until the client's deadline
     */
    void sendAttempt(String requestId, String endpointId, long timeoutMicros);

    /**
     * Final response: rejected, and safe to retry.
     *
     * @param retryAfterMicros when the client should come back; 0 gives no advice
     */
    void reject(String requestId, long retryAfterMicros);

    /** Final response: failed; the request may have been executed. */
    void fail(String requestId);

    /** Stops waiting for an attempt. */
    void cancelAttempt(String requestId, int attemptIndex);

    /** Asks for a call of {@link LoadBalancer#timerExpired} after {@code delayMicros}. */
    void scheduleTimer(String token, long delayMicros);

    /** Asks an endpoint for its load; {@link LoadBalancer#probeCompleted} brings the result. */
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
