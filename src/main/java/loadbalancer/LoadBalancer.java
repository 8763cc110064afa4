package loadbalancer;

import java.util.List;

/**
 * The load-balancing policy of one balancer. It receives events through these methods and issues
 * its decisions through {@link LoadBalancerActions}. {@link ReweightingLoadBalancer} is the
 * implementation.
 *
 * <p>All times and durations are in microseconds of one monotonic clock; the current time is passed
 * in with each event as {@code nowMicros}. An instance is not thread-safe: call it from one thread,
 * or guard it by one lock. It never blocks, and it calls {@link LoadBalancerActions} only from
 * within an event.
 *
 * <p>A request is identified by its id, an attempt by the id of its request and an index that
 * counts the attempts of that request from 0.
 */
public interface LoadBalancer {

    /**
     * Starts the instance and schedules its first timer. Must be called once, before any other
     * event.
     */
    void start(long nowMicros);

    /**
     * Replaces the settings for requests that arrive from now on; open requests keep the settings
     * under which they arrived.
     *
     * @throws InvalidSettingException if a value is out of its range; the old settings then stay in
     *     force
     */
    void updateSettings(long nowMicros, LoadBalancerSettings settings);

    /**
     * Limits the number of requests that wait for an endpoint at the same time. Each pending
     * request occupies its client's connection; beyond the limit, the requests with the lowest
     * priority are rejected at once.
     */
    void setMaxPendingRequests(int maxPendingRequests);

    /** Discovery has delivered the endpoint list or a change of it, or a call to it has failed. */
    void updateEndpoints(
            long nowMicros, EndpointListUpdateType type, List<EndpointDescriptor> endpoints);

    /** A complete request has been received; from now on it needs exactly one final response. */
    void requestReceived(long nowMicros, RequestDescriptor request);

    /**
     * The head of a request has been received, and its body is still arriving. Until {@link
     * #requestBodyReceived}, the request occupies no endpoint and its deadline does not run; the
     * part of the body that has been forwarded cannot be sent again.
     */
    void requestHeadReceived(long nowMicros, RequestDescriptor request);

    /**
     * The whole body of a request that was announced by {@link #requestHeadReceived} has been
     * received. From now on its deadline runs, and it occupies the endpoints that it was sent to.
     */
    void requestBodyReceived(long nowMicros, String requestId);

    /** An attempt has ended. */
    void attemptEnded(long nowMicros, AttemptResult result);

    /**
     * A response has begun to be forwarded. The policy no longer retries or cancels its attempt.
     */
    void responseStarted(long nowMicros, String requestId, int attemptIndex);

    /** The client has disconnected; the request needs no final response any more. */
    void clientDisconnected(long nowMicros, String requestId);

    /** A probe has ended; {@code loadReport} is null if there was none. */
    void probeCompleted(
            long nowMicros, String endpointId, AttemptOutcome outcome, LoadReport loadReport);

    /** A timer that was set through {@link LoadBalancerActions#scheduleTimer} has expired. */
    void timerExpired(long nowMicros, String token);

    /** A message has arrived from another balancer of the tier. */
    void peerMessageReceived(long nowMicros, int peerIndex, byte[] message);

    /**
     * Returns how many of the listed endpoints currently receive no requests, because they are
     * draining, or because they are ejected and panic mode is off. This is a query, not an event.
     */
    int unavailableEndpointCount(long nowMicros);

    /**
     * Restores the measurements of an earlier instance, or of one in a sibling process. They are
     * discounted by their age, and measurements of this instance are not replaced.
     *
     * @param ageMicros age of the snapshot
     * @param listAgeMicros time since discovery last delivered a list; endpoints that have not been
     *     listed since and that have not responded get few requests
     */
    default void restoreState(
            long nowMicros, long ageMicros, long listAgeMicros, LoadBalancerSnapshot snapshot) {}

    /**
     * Returns the measurements of this instance, with at most {@code maxEndpoints} endpoints,
     * starting at index {@code fromIndex} of the list. This is a query, not an event.
     */
    default LoadBalancerSnapshot exportState(long nowMicros, int fromIndex, int maxEndpoints) {
        return LoadBalancerSnapshot.EMPTY;
    }

    /**
     * Reports whether a second process of the same balancer is running, as during a hand-over. The
     * two processes then share the slow-start quota.
     */
    default void siblingProcessChanged(long nowMicros, boolean isRunning) {}
}
