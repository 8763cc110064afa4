package loadbalancer.policy.state;

import loadbalancer.policy.data.InFlightMessage;
import loadbalancer.policy.data.RecentCounts;

/**
 * The requests that other balancers have in flight at each endpoint, from their messages or from
 * the endpoint's last load report. Counts are in mean requests.
 */
public final class PeerLoad {
    /** Peer load at one endpoint. */
    static final class EndpointLoad {
        private final RecentCounts messages = new RecentCounts();
        private double reportedRequests;
        private long reportedAtMicros = Timestamps.NEVER_MICROS;
    }

    private final Traffic traffic;
    private final ServiceTimes times;
    private double messageLifetimeMicros;

    /** Creates an instance without any counts. */
    public PeerLoad(Traffic traffic, ServiceTimes times) {
        this.traffic = traffic;
        this.times = times;
    }

    /** Sets how long a peer's message stays valid. */
    public void setMessageLifetimeMicros(double lifetimeMicros) {
        messageLifetimeMicros = lifetimeMicros;
    }

    /**
     * Returns the number of requests of other balancers at the endpoint. Reported requests are
     * assumed to complete at the endpoint's response time per queued request; counts from messages
     * apply until the message expires.
     */
    public double peerRequests(Endpoint endpoint, long nowMicros) {
        EndpointLoad load = endpoint.peerLoad();
        double reported =
                load.reportedRequests > 0
                        ? load.reportedRequests
                                - (nowMicros - load.reportedAtMicros)
                                        / Math.max(1, times.microsPerQueuedRequest(endpoint))
                        : 0;
        return Math.max(
                Math.max(0, reported),
                load.messages.sum(
                        messageLifetimeMicros, InFlightMessage.PARTS_PER_REQUEST, nowMicros));
    }

    /** Returns the queue length of the endpoint over all balancers, as far as it is known here. */
    public double queueLength(Endpoint endpoint, long nowMicros) {
        return ownQueueLength(endpoint) + peerRequests(endpoint, nowMicros);
    }

    /** Returns this balancer's part of the queue length. */
    public double ownQueueLength(Endpoint endpoint) {
        return endpoint.inFlight().queueLength(traffic.meanCostMicros());
    }

    /** Returns when the load of other balancers was last reported. */
    public long reportedAtMicros(Endpoint endpoint) {
        return endpoint.peerLoad().reportedAtMicros;
    }

    /** Returns the number of requests of other balancers in the last report. */
    public double reportedRequests(Endpoint endpoint) {
        return endpoint.peerLoad().reportedRequests;
    }

    /** Records the reported number of requests of other balancers. */
    public void recordReport(Endpoint endpoint, double peerRequests, long reportedAtMicros) {
        endpoint.peerLoad().reportedRequests = peerRequests;
        endpoint.peerLoad().reportedAtMicros = reportedAtMicros;
    }

    /**
     * Records a peer's message; {@code queueParts} is the queue length as encoded in the message.
     */
    public void recordMessage(Endpoint endpoint, int peer, int queueParts, long nowMicros) {
        endpoint.peerLoad().messages.put(peer, queueParts, nowMicros);
    }
}
