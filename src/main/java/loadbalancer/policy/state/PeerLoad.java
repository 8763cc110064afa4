package loadbalancer.policy.state;

import loadbalancer.policy.data.InFlightMessage;
import loadbalancer.policy.data.RecentCounts;

/**
 * What other balancers have in flight at each endpoint, by their messages or by the endpoint's last
 * report. Counts are in mean requests.
 */
public final class PeerLoad {
    /** What is kept of one endpoint. */
    static final class EndpointLoad {
        private final RecentCounts messages = new RecentCounts();
        private double reportedRequests;
        private long reportedAtMicros = Timestamps.NEVER_MICROS;
    }

    private final Traffic traffic;
    private final ServiceTimes times;
    private double messageLifetimeMicros;

    /** Creates one without any counts. */
    public PeerLoad(Traffic traffic, ServiceTimes times) {
        this.traffic = traffic;
        this.times = times;
    }

    /** Sets how long a peer's message is believed. */
    public void setMessageLifetimeMicros(double lifetimeMicros) {
        messageLifetimeMicros = lifetimeMicros;
    }

    /**
     * Requests of other balancers at the endpoint. Reported ones are taken to complete at the
     * endpoint's pace; those of messages count until the message expires.
     */
    public double peerRequests(Endpoint endpoint, long nowMicros) {
        EndpointLoad load = endpoint.peerLoad();
        double reported =
                load.reportedRequests > 0
                        ? load.reportedRequests
                                - (nowMicros - load.reportedAtMicros)
                                        / Math.max(1, times.paceMicros(endpoint))
                        : 0;
        return Math.max(
                Math.max(0, reported),
                load.messages.sum(
                        messageLifetimeMicros, InFlightMessage.PARTS_PER_REQUEST, nowMicros));
    }

    /** The endpoint's queue by all balancers, as far as known here. */
    public double queueLength(Endpoint endpoint, long nowMicros) {
        return ownQueueLength(endpoint) + peerRequests(endpoint, nowMicros);
    }

    /** This balancer's part of the queue. */
    public double ownQueueLength(Endpoint endpoint) {
        return endpoint.inFlight().queueLength(traffic.meanCostMicros());
    }

    /** When the load of other balancers was last reported. */
    public long reportedAtMicros(Endpoint endpoint) {
        return endpoint.peerLoad().reportedAtMicros;
    }

    /** The requests of other balancers in the last report. */
    public double reportedRequests(Endpoint endpoint) {
        return endpoint.peerLoad().reportedRequests;
    }

    /** Records how many requests other balancers have there. */
    public void recordReport(Endpoint endpoint, double peerRequests, long reportedAtMicros) {
        endpoint.peerLoad().reportedRequests = peerRequests;
        endpoint.peerLoad().reportedAtMicros = reportedAtMicros;
    }

    /** Records a peer's message; {@code queueParts} is in the message's parts of a request. */
    public void recordMessage(Endpoint endpoint, int peer, int queueParts, long nowMicros) {
        endpoint.peerLoad().messages.put(peer, queueParts, nowMicros);
    }
}
