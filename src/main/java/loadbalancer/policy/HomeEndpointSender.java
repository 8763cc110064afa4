package loadbalancer.policy;

import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PendingRequestQueue;

/**
 * Sends pending requests to the homes of their keys.
 *
 * <p>Decides which requests take scarce capacity first. If the request of highest priority always
 * took it, keys would be served without a cache everywhere and the overload would last.
 *
 * <p>Inputs: the pending requests by priority; health and capacity of their homes.
 *
 * <p>Never sends a request elsewhere, nor one that can't meet its latency objective any more.
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

    /** Sends them where more than one request is pending and cached keys save work. */
    void sendToHomes(long nowMicros) {
        if (!settings.current().hasKeyAffinity() || queue.size() <= 1) {
            return;
        }
        boolean isPanicking = outliers.isPanicking(nowMicros);
        for (OpenRequest request : queue.copy()) {
            if (mayGoHome(request, isPanicking, nowMicros)) {
                sender.send(request, request.homeEndpoint(), nowMicros);
            }
        }
    }

    private boolean mayGoHome(OpenRequest request, boolean isPanicking, long nowMicros) {
        Endpoint home = request.homeEndpoint();
        return home != null
                && endpoints.contains(home)
                && !request.isLate()
                && capacity.hasCapacity(home, request, nowMicros)
                && eligibility.isEligible(home, request, isPanicking, nowMicros);
    }
}
