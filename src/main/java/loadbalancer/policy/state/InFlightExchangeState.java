package loadbalancer.policy.state;

import java.util.List;

/** What the in-flight exchange keeps of one endpoint. */
public final class InFlightExchangeState {
    private List<Integer> sharingPeers;

    /** Positions of the peers that use the endpoint; null if they are to be computed. */
    public List<Integer> sharingPeers() {
        return sharingPeers;
    }

    /** Keeps the positions of the peers that use the endpoint. */
    public void setSharingPeers(List<Integer> positions) {
        sharingPeers = positions;
    }

    /** Drops the positions: the endpoint list or the group has changed. */
    void invalidate() {
        sharingPeers = null;
    }
}
