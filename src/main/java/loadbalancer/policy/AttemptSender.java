package loadbalancer.policy;

import loadbalancer.LoadBalancerActions;
import loadbalancer.policy.state.Attempt;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PeerLoad;
import loadbalancer.policy.state.PendingRequestQueue;

/**
 * Sends a request to a given endpoint and updates the in-flight counts, the slow-start budget and
 * the peers, in that order.
 *
 * <p>The caller has already chosen the endpoint and checked that the attempt is allowed: see {@link
 * EndpointEligibility}.
 */
final class AttemptSender {
    /**
     * Timeout value for an attempt without a timeout of its own: it runs until it ends or is
     * cancelled.
     */
    private static final long NO_TIMEOUT = 0;

    private final PendingRequestQueue pendingQueue;
    private final OutlierDetection outliers;
    private final ConcurrencyLimits limits;
    private final SlowStart slowStart;
    private final PeerLoad peerLoad;
    private final InFlightExchange exchange;
    private final LoadBalancerActions actions;

    AttemptSender(
            PendingRequestQueue pendingQueue,
            OutlierDetection outliers,
            ConcurrencyLimits limits,
            SlowStart slowStart,
            PeerLoad peerLoad,
            InFlightExchange exchange,
            LoadBalancerActions actions) {
        this.pendingQueue = pendingQueue;
        this.outliers = outliers;
        this.limits = limits;
        this.slowStart = slowStart;
        this.peerLoad = peerLoad;
        this.exchange = exchange;
        this.actions = actions;
    }

    /** Starts an attempt of the request at the endpoint. */
    void send(OpenRequest request, Endpoint endpoint, long nowMicros) {
        pendingQueue.remove(request);
        outliers.recordSend(endpoint, nowMicros);
        Attempt attempt = request.startAttempt(endpoint, nowMicros);
        if (!request.isBodyIncomplete()) {
            startWork(request, attempt, nowMicros);
        }
        slowStart.spend(endpoint, request);
        actions.sendAttempt(request.id(), endpoint.id(), NO_TIMEOUT);
        attempt.setQueueLengthAtSend(peerLoad.queueLength(endpoint, nowMicros));
        exchange.notifyPeers(endpoint);
    }

    /**
     * Counts the attempt as in flight. Called once the endpoint has received the whole request and
     * can work on it.
     */
    void startWork(OpenRequest request, Attempt attempt, long nowMicros) {
        Endpoint endpoint = attempt.endpoint();
        attempt.startWork(request.costMicros());
        double nextInFlight =
                endpoint.inFlight().requests() + peerLoad.peerRequests(endpoint, nowMicros) + 1;
        attempt.setReachedLimit(nextInFlight > limits.limit(endpoint));
    }
}
