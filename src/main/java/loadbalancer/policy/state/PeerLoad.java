package loadbalancer.policy.state;

import loadbalancer.policy.data.InFlightMessage;
import loadbalancer.policy.data.RecentCounts;

/** What other balancers have in flight, by their messages or by an upstream's last report. */
public final class PeerLoad {
    /** At one upstream. */
    static final class Part {
        final RecentCounts told = new RecentCounts();
        double seen;
        long seenAt = OutlierState.NEVER;
    }

    private final Traffic traffic;
    private final ServiceTimes times;
    private double toldHolds;

    PeerLoad(Traffic traffic, ServiceTimes times) {
        this.traffic = traffic;
        this.times = times;
    }

    /** What was told is believed for so many microseconds. */
    public void toldHolds(double span) {
        toldHolds = span;
    }

    /** What was seen passes at the upstream's pace; what was told holds until it is too old. */
    public double of(Endpoint up, long now) {
        Part p = up.peers;
        double seen = p.seen > 0 ? p.seen - (now - p.seenAt) / Math.max(1, times.pace(up)) : 0;
        return Math.max(Math.max(0, seen), p.told.sum(toldHolds, InFlightMessage.UNIT_PARTS, now));
    }

    /** Our line and that of the others, in mean requests. */
    public double line(Endpoint up, long now) {
        return units(up) + of(up, now);
    }

    /** Ours alone. */
    public double units(Endpoint up) {
        return up.inFlight.units(traffic.meanCost());
    }

    /** When it was last seen. */
    public long seenAt(Endpoint up) {
        return up.peers.seenAt;
    }

    /** So many were seen there. */
    public void saw(Endpoint up, double count, long when) {
        up.peers.seen = count;
        up.peers.seenAt = when;
    }

    /** So many were seen there at last. */
    public double seen(Endpoint up) {
        return up.peers.seen;
    }

    /** Another balancer has told what it has there. */
    public void told(Endpoint up, int from, int parts, long now) {
        up.peers.told.put(from, parts, now);
    }
}
