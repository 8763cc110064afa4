package loadbalancer.policy;

import loadbalancer.LoadBalancer.Known;
import loadbalancer.LoadBalancer.Memory;
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
    void restore(Memory saved, long ageMicros, long listAgeMicros, long nowMicros) {
        double listTrustRatio = trustRatio(listAgeMicros);
        for (Endpoint endpoint : endpoints.ready()) {
            trust.setTrustRatio(endpoint, listTrustRatio);
        }
        for (Known savedEndpoint : saved.upstreams()) {
            restore(savedEndpoint, ageMicros, listAgeMicros, nowMicros);
        }
    }

    private void restore(Known saved, long ageMicros, long listAgeMicros, long nowMicros) {
        Endpoint endpoint = endpoints.get(saved.id());
        if (endpoint == null || endpoint.entry().launchedAt() != saved.launchedAt()) {
            return;
        }
        if (sibling.isServing()) {
            peerLoad.recordReport(endpoint, saved.inFlight(), nowMicros - ageMicros);
        }
        if (endpoint.hasResponded()) {
            return;
        }
        Known believed =
                StateRestoration.believed(
                        saved, ageMicros, limits.initialLimit(), times.typicalPaceMicros());
        endpoint.restore(believed, nowMicros - ageMicros, nowMicros);
        if (believed.quiet() >= 0) {
            // A response is as good as a list: what is more recent counts.
            trust.setTrustRatio(endpoint, trustRatio(Math.min(listAgeMicros, believed.quiet())));
        }
    }

    private static double trustRatio(long ageMicros) {
        return StateRestoration.left(ageMicros, StateRestoration.TRUST);
    }
}
