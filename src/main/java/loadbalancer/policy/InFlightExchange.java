package loadbalancer.policy;

import java.util.List;
import loadbalancer.LoadBalancerActions;
import loadbalancer.policy.data.InFlightMessage;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.InFlightExchangeState;
import loadbalancer.policy.state.PeerLoad;

/**
 * Exchanges in-flight counts with the other balancers of the tier.
 *
 * <p>This balancer notifies those peers of its queue at an endpoint whose subsets include that
 * endpoint. It sends nothing if the settings do not allow peer messages, and it ignores messages
 * that are malformed or refer to an unknown endpoint.
 */
final class InFlightExchange {
    private final DerivedSettings settings;
    private final EndpointList endpoints;
    private final Subsetting subsetting;
    private final PeerLoad peerLoad;
    private final LoadBalancerActions actions;

    InFlightExchange(
            DerivedSettings settings,
            EndpointList endpoints,
            Subsetting subsetting,
            PeerLoad peerLoad,
            LoadBalancerActions actions) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.subsetting = subsetting;
        this.peerLoad = peerLoad;
        this.actions = actions;
    }

    /** Sends this balancer's queue length at the endpoint to the peers that use the endpoint. */
    void notifyPeers(Endpoint endpoint) {
        if (!settings.exchangesInFlight() || !endpoints.contains(endpoint)) {
            return;
        }
        byte[] message =
                InFlightMessage.encode(endpoint.messageHash(), peerLoad.ownQueueLength(endpoint));
        for (int peer : sharingPeers(endpoint)) {
            actions.sendToPeer(peer, message);
        }
    }

    private List<Integer> sharingPeers(Endpoint endpoint) {
        InFlightExchangeState state = endpoint.inFlightExchange();
        if (state.sharingPeers() == null) {
            state.setSharingPeers(
                    endpoints.balancersUsing(
                            endpoint,
                            subsetting.size(),
                            settings.balancerCount(),
                            settings.current().balancerIndex()));
        }
        return state.sharingPeers();
    }

    /** Processes a message from a peer. */
    void recordMessage(int peer, byte[] message, long nowMicros) {
        if (!settings.exchangesInFlight()
                || message.length != InFlightMessage.BYTES
                || peer < 0
                || peer >= settings.balancerCount()) {
            return;
        }
        Endpoint endpoint = endpoints.byMessageHash(InFlightMessage.decodeEndpointHash(message));
        if (endpoint != null) {
            peerLoad.recordMessage(
                    endpoint, peer, InFlightMessage.decodeQueueParts(message), nowMicros);
        }
    }
}
