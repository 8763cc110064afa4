package loadbalancer.policy.state;

import java.util.List;

/** State of the in-flight exchange for one endpoint. */
public final class InFlightExchangeState {
    private List<Integer> sharingPeers;

    /** Returns the indices of the peers that use the endpoint; null if they must be computed. */
    public List<Integer> sharingPeers() {
        return sharingPeers;
    }

    /** Stores the indices of the peers that use the endpoint. */
    public void setSharingPeers(List<Integer> indices) {
        sharingPeers = indices;
    }

    /** Discards the indices because the endpoint list or the number of balancers has changed. */
    void invalidate() {
        sharingPeers = null;
    }
}
