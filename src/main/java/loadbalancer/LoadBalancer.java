package loadbalancer;

import java.util.List;

/**
 * The load-balancing policy of one balancer: it receives events through these methods, and its
 * decisions go out through {@link LoadBalancerActions}. {@link ReweightingLoadBalancer} is the
 * implementation.
 *
 * <p>All times and durations are microseconds of one clock that never goes back; the current time
 * is passed in with each event as {@code nowMicros}. An instance is not thread-safe: call it from
 * one thread, or guard it by one lock. It never blocks, and it calls {@link LoadBalancerActions}
 * only from within an event.
 *
 * <p>A request is named by its id, an attempt by the id of its request and its index, which counts
 * the attempts of that request from 0.
 */
public interface LoadBalancer {

    /** Starts the instance: schedules its first timer. Call it once, before any other event. */
    void start(long nowMicros);

    /**
     * Replaces the settings for requests that arrive from now on; open requests keep those that
     * they arrived under.
     *
     * @throws InvalidSettingException if a value is out of its range; the old settings then stay
     */
    void updateSettings(long nowMicros, LoadBalancerSettings settings);

    /**
     * Limits the number of requests that wait for an endpoint at a time. Each of them holds up its
     * client's connection; beyond the limit those of the lowest priority are rejected at once.
     */
    void setMaxPendingRequests(int maxPendingRequests);

    /** Discovery has delivered the list of endpoints, or changes of it, or has failed. */
    void updateEndpoints(
            long nowMicros, EndpointListUpdateType type, List<EndpointDescriptor> endpoints);

    /** A complete request has been received; exactly one final response is owed from here on. */
    void requestReceived(long nowMicros, RequestDescriptor request);

    /**
     * The head of a request has been received, and its body is still arriving. Until {@link
     * #requestBodyReceived} the request occupies no endpoint and its time does not count; what has
     * been forwarded of the body can't be sent again.
     */
    void requestHeadReceived(long nowMicros, RequestDescriptor request);

    /**
     * The whole body of such a request has been received: from now on its time counts, and it
     * occupies the endpoints that it was sent to.
     */
    void requestBodyReceived(long nowMicros, String requestId);

    /** An attempt has ended. */
    void attemptEnded(long nowMicros, AttemptResult result);

    /** A streamed response has begun; from now on its attempt is left to the client. */
    void responseStarted(long nowMicros, String requestId, int attemptIndex);

    /** The client has disconnected; no response is owed for this request any more. */
    void clientDisconnected(long nowMicros, String requestId);

    /** A probe has ended; {@code loadReport} is null if none came along. */
    void probeCompleted(
            long nowMicros, String endpointId, AttemptOutcome outcome, LoadReport loadReport);

    /** A timer that was set through {@link LoadBalancerActions#scheduleTimer} has expired. */
    void timerExpired(long nowMicros, String token);

    /** A message has arrived from another balancer of the tier. */
    void peerMessageReceived(long nowMicros, int peerIndex, byte[] message);

    /**
     * Returns how many of the listed endpoints receive no requests at present: they are draining,
     * or ejected while panic mode is off. A query, not an event.
     */
    int unavailableEndpointCount(long nowMicros);

    /**
     * Takes over what an instance before this one, or beside it, had measured. It is trusted less
     * the older it is, and it replaces nothing that this instance has measured itself.
     *
     * @param ageMicros age of the snapshot
     * @param listAgeMicros time since discovery was last heard; endpoints that it has not named
     *     since and that have not responded get few requests
     */
    default void restoreState(
            long nowMicros, long ageMicros, long listAgeMicros, LoadBalancerSnapshot snapshot) {}

    /**
     * Returns what this instance has measured, with at most {@code maxEndpoints} endpoints from
     * index {@code fromIndex} of the list on. A query, not an event.
     */
    default LoadBalancerSnapshot exportState(long nowMicros, int fromIndex, int maxEndpoints) {
        return LoadBalancerSnapshot.EMPTY;
    }

    /**
     * Tells whether a second process of the same balancer is running, as in a hand-over: the two
     * then share the slow-start quota.
     */
    default void siblingProcessChanged(long nowMicros, boolean isRunning) {}
}
