package yewyoke.decide.state;

import yewyoke.decide.data.InFlightMessage;
import yewyoke.decide.data.RecentCounts;

/** What other balancers have in flight, by their messages or by an upstream's last report. */
public final class PeerLoad {
    /** At one upstream. */
    static final class Part {
        final RecentCounts told = new RecentCounts();
        double seen;
        long seenAt = HealthState.NEVER;
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
    public double of(Host up, long now) {
        Part p = up.peers;
        double seen = p.seen > 0 ? p.seen - (now - p.seenAt) / Math.max(1, times.pace(up)) : 0;
        return Math.max(Math.max(0, seen), p.told.sum(toldHolds, InFlightMessage.UNIT_PARTS, now));
    }

    /** Our line and that of the others, in mean requests. */
    public double line(Host up, long now) {
        return units(up) + of(up, now);
    }

    /** Ours alone. */
    public double units(Host up) {
        return up.inFlight.units(traffic.meanCost());
    }

    /** When it was last seen. */
    public long seenAt(Host up) {
        return up.peers.seenAt;
    }

    /** So many were seen there. */
    public void saw(Host up, double count, long when) {
        up.peers.seen = count;
        up.peers.seenAt = when;
    }

    /** So many were seen there at last. */
    public double seen(Host up) {
        return up.peers.seen;
    }

    /** Another balancer has told what it has there. */
    public void told(Host up, int from, int parts, long now) {
        up.peers.told.put(from, parts, now);
    }
}
