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
 * Restores what an earlier instance had learnt of endpoints.
 *
 * <p>Decides which endpoints take it over: those with the same launch time that have not responded
 * to this instance yet.
 *
 * <p>Inputs: the saved state and its age, the age of the restored list (microseconds).
 *
 * <p>Never adds an endpoint to the list. How much a figure is believed by its age is up to {@link
 * StateRestoration}.
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

    /** Restores trust and state of the listed endpoints. */
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
        EndpointSnapshot believed =
                StateRestoration.discounted(
                        saved, ageMicros, limits.initialLimit(), times.typicalPaceMicros());
        endpoint.restore(believed, nowMicros - ageMicros, nowMicros);
        if (believed.sinceLastResponseMicros() >= 0) {
            // A response is as good as a list: what is more recent counts.
            trust.setTrustRatio(
                    endpoint,
                    trustRatio(Math.min(listAgeMicros, believed.sinceLastResponseMicros())));
        }
    }

    private static double trustRatio(long ageMicros) {
        return StateRestoration.remainingFraction(
                ageMicros, StateRestoration.LIST_TRUST_HALF_LIFE_MICROS);
    }
}
