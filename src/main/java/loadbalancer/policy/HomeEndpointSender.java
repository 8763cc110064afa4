package loadbalancer.policy;

import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PendingRequestQueue;

/**
 * Sends pending requests to the home endpoints of their keys.
 *
 * <p>Gives scarce capacity to requests at their home endpoint first. If requests with the highest
 * priority always took it, keys would be served without a cache everywhere and the overload would
 * persist. Inputs are the pending requests by priority, and health and capacity of their home
 * endpoints.
 *
 * <p>Sends no request to any other endpoint, and none that can no longer meet its latency
 * objective.
 */
final class HomeEndpointSender {
    private final DerivedSettings settings;
    private final PendingRequestQueue queue;
    private final EndpointList endpoints;
    private final OutlierDetection outliers;
    private final EndpointCapacity capacity;
    private final EndpointEligibility eligibility;
    private final AttemptSender sender;

    HomeEndpointSender(
            DerivedSettings settings,
            PendingRequestQueue queue,
            EndpointList endpoints,
            OutlierDetection outliers,
            EndpointCapacity capacity,
            EndpointEligibility eligibility,
            AttemptSender sender) {
        this.settings = settings;
        this.queue = queue;
        this.endpoints = endpoints;
        this.outliers = outliers;
        this.capacity = capacity;
        this.eligibility = eligibility;
        this.sender = sender;
    }

    /**
     * Sends pending requests to their home endpoints if more than one request is pending and the
     * service has key affinity.
     */
    void sendToHomes(long nowMicros) {
        if (!settings.current().hasKeyAffinity() || queue.size() <= 1) {
            return;
        }
        boolean isPanicMode = outliers.isPanicMode(nowMicros);
        for (OpenRequest request : queue.copy()) {
            if (maySendToHome(request, isPanicMode, nowMicros)) {
                sender.send(request, request.homeEndpoint(), nowMicros);
            }
        }
    }

    private boolean maySendToHome(OpenRequest request, boolean isPanicMode, long nowMicros) {
        Endpoint home = request.homeEndpoint();
        return home != null
                && endpoints.contains(home)
                && !request.isLate()
                && capacity.hasCapacity(home, request, nowMicros)
                && eligibility.isEligible(home, request, isPanicMode, nowMicros);
    }
}
