package loadbalancer.policy;

import loadbalancer.EndpointSnapshot;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.StateRestoration;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.PeerLoad;
import loadbalancer.policy.state.ServiceTimes;
import loadbalancer.policy.state.SiblingProcess;

/**
 * Restores what an earlier instance learned about endpoints.
 *
 * <p>An endpoint takes over the saved state only if it has the same launch time and has not
 * responded to this instance yet. {@link StateRestoration} discounts saved values by their age.
 *
 * <p>Adds no endpoint to the list.
 */
final class EndpointRestoration {
    private final EndpointList endpoints;
    private final PeerLoad peerLoad;
    private final ConcurrencyLimits limits;
    private final ServiceTimes times;
    private final EndpointTrust trust;
    private final SiblingProcess sibling;

    EndpointRestoration(
            EndpointList endpoints,
            PeerLoad peerLoad,
            ConcurrencyLimits limits,
            ServiceTimes times,
            EndpointTrust trust,
            SiblingProcess sibling) {
        this.endpoints = endpoints;
        this.peerLoad = peerLoad;
        this.limits = limits;
        this.times = times;
        this.trust = trust;
        this.sibling = sibling;
    }

    /**
     * Restores trust and state of the listed endpoints. {@code ageMicros} is the age of the state,
     * {@code listAgeMicros} the age of the endpoint list it was saved with.
     */
    void restore(LoadBalancerSnapshot saved, long ageMicros, long listAgeMicros, long nowMicros) {
        double listTrustRatio = trustRatio(listAgeMicros);
        for (Endpoint endpoint : endpoints.ready()) {
            trust.setTrustRatio(endpoint, listTrustRatio);
        }
        for (EndpointSnapshot savedEndpoint : saved.endpoints()) {
            restore(savedEndpoint, ageMicros, listAgeMicros, nowMicros);
        }
    }

    private void restore(
            EndpointSnapshot saved, long ageMicros, long listAgeMicros, long nowMicros) {
        Endpoint endpoint = endpoints.get(saved.id());
        if (endpoint == null || endpoint.entry().launchedAtMicros() != saved.launchedAtMicros()) {
            return;
        }
        if (sibling.isServing()) {
            peerLoad.recordReport(endpoint, saved.inFlightRequests(), nowMicros - ageMicros);
        }
        if (endpoint.hasResponded()) {
            return;
        }
        EndpointSnapshot discounted =
                StateRestoration.discounted(
                        saved,
                        ageMicros,
                        limits.initialLimit(),
                        times.typicalMicrosPerQueuedRequest());
        endpoint.restore(discounted, nowMicros - ageMicros, nowMicros);
        if (discounted.sinceLastResponseMicros() >= 0) {
            // A response confirms the endpoint like a list does; the more recent one applies.
            trust.setTrustRatio(
                    endpoint,
                    trustRatio(Math.min(listAgeMicros, discounted.sinceLastResponseMicros())));
        }
    }

    private static double trustRatio(long ageMicros) {
        return StateRestoration.remainingFraction(
                ageMicros, StateRestoration.LIST_TRUST_HALF_LIFE_MICROS);
    }
}
