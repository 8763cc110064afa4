package loadbalancer.policy.state;

import java.util.List;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.policy.data.DecayingMinimum;
import loadbalancer.policy.data.ExponentialSmoothing;

/**
 * How long upstreams take, in microseconds: for an answer, for the work of it, and for their line
 * to move by one.
 */
public final class ServiceTimes {
    private static final double SMOOTH =
            0.15; // smoothing of each answer into an upstream's own times
    private static final double SMOOTH_ALL =
            0.02; // and into those over all: many more answers feed them
    private static final double LEAST_DRIFT =
            Math.log(2) / 30e6; // least time doubles in half a minute

    /** Of one upstream. */
    static final class Part {
        final DecayingMinimum least = new DecayingMinimum(LEAST_DRIFT);
        double took;
        double pace;
    }

    private double typicalTook;
    private double typicalPace;
    private double unitTook;

    /** A guess at the pace, to begin with. */
    public void guess(double pace) {
        typicalPace = pace;
    }

    /** A new upstream has the pace of the others. */
    public void begin(Endpoint up) {
        up.times.pace = typicalPace;
    }

    /** Time of an answer for each one in line. */
    public double pace(Endpoint up) {
        return up.times.pace;
    }

    /** The same over all. */
    public double typicalPace() {
        return typicalPace;
    }

    /** The time that an answer usually takes, there or anywhere: what is longer. */
    public double usual(Endpoint up) {
        return Math.max(up.times.took, typicalTook);
    }

    /** The least time seen lately for a unit of work, or for a request without hints. */
    public double least(Endpoint up) {
        return up.times.least.value();
    }

    /** The mean of that over all. */
    public double unitTook() {
        return unitTook;
    }

    /** Takes that mean anew. */
    public void measureUnit(List<Endpoint> ups) {
        double units = 0;
        for (Endpoint up : ups) {
            units += least(up);
        }
        unitTook = units / Math.max(1, ups.size());
    }

    /** An answer that met so long a line, itself included. */
    public void answered(Endpoint up, long took, double line) {
        Part p = up.times;
        p.took = ExponentialSmoothing.into(p.took, took, SMOOTH);
        double paced = took / Math.max(1, line);
        p.pace = ExponentialSmoothing.into(p.pace, paced, SMOOTH);
        typicalPace = ExponentialSmoothing.into(typicalPace, paced, SMOOTH_ALL);
        typicalTook = ExponentialSmoothing.into(typicalTook, took, SMOOTH_ALL);
    }

    /** None in so long: the pace is that at best. */
    public void unanswered(Endpoint up, long took, double line) {
        Part p = up.times;
        p.pace =
                Math.max(
                        p.pace,
                        ExponentialSmoothing.into(p.pace, took / Math.max(1, line), SMOOTH));
    }

    /**
     * What of an answer's time was waiting: all beyond the least service time seen lately. The
     * reported service time will not do: it rises with the crowd on an upstream that slows down
     * when crowded.
     */
    public double waitOf(Endpoint up, OpenRequest r, long took, long now) {
        boolean hinted = r.request.expectedWorkMicros() > 0;
        double reported =
                up.weight.report == null ? Double.NaN : up.weight.report.serviceTimeMicros();
        up.times.least.sample(
                hinted ? took / r.cost : reported > 0 ? reported : up.times.took, now);
        return took - (hinted ? r.ownService(least(up)) : least(up));
    }

    /** Whether nothing is known yet. */
    public boolean unknown() {
        return typicalTook == 0;
    }

    /** Takes over what an earlier instance knew. */
    public void recall(LoadBalancerSnapshot memory) {
        typicalTook = memory.responseTimeMicros();
        typicalPace = memory.responseTimePerQueuedMicros();
        unitTook = memory.unitDurationMicros();
    }

    /** The time of an answer over all, 0 before the first. */
    public double typicalTook() {
        return typicalTook;
    }
}
