package loadbalancer.policy.state;

import java.util.List;

/** What the in-flight exchange keeps of one endpoint. */
public final class InFlightExchangeState {
    private List<Integer> sharingPeers;

    /** Indices of the peers that use the endpoint; null if they are to be computed. */
    public List<Integer> sharingPeers() {
        return sharingPeers;
    }

    /** Keeps the indices of the peers that use the endpoint. */
    public void setSharingPeers(List<Integer> indices) {
        sharingPeers = indices;
    }

    /** Drops the indices: the endpoint list or the number of balancers has changed. */
    void invalidate() {
        sharingPeers = null;
    }
}
