package loadbalancer.lab.sim;

import loadbalancer.lab.scenario.Section;

/** Slowing down when crowded for some time, and recovering only after a rest or a long time. */
final class Congestion {
    private final double limit;
    private final long over;
    private final double slower;
    private final double below;
    private final long rest;
    private final long most;
    private long crowdedSince = Long.MAX_VALUE;
    private long struckAt = Long.MAX_VALUE;
    private long calm;

    Congestion(Section s, int cores) {
        limit = s.number("at") * cores;
        over = s.micros("over_s");
        slower = s.number("slower");
        below = s.number("below");
        rest = s.micros("rest_s");
        most = s.micros("most_s");
    }

    boolean active() {
        return struckAt != Long.MAX_VALUE;
    }

    double factor() {
        return active() ? slower : 1;
    }

    void clear() {
        crowdedSince = Long.MAX_VALUE;
        struckAt = Long.MAX_VALUE;
    }

    /**
     * Notes how many wait; the time after which to ask {@link #strikes} if it has just become too
     * many.
     */
    long crowd(long now, int waiting) {
        if (waiting <= limit) {
            crowdedSince = Long.MAX_VALUE;
        } else if (crowdedSince == Long.MAX_VALUE) {
            crowdedSince = now;
            return Math.max(1, over);
        }
        return 0;
    }

    /** Whether it slows down now, having been crowded all the while. */
    boolean strikes(long now) {
        if (active() || crowdedSince == Long.MAX_VALUE || now - crowdedSince < over) {
            return false;
        }
        struckAt = now;
        calm = 0;
        return true;
    }

    /** The cores were busy to that share over the last {@code span}. */
    void idled(long now, double busy, long span) {
        if (!active()) {
            return;
        }
        calm = busy < below ? calm + span : 0;
        if (calm >= rest || now - struckAt >= most) {
            struckAt = Long.MAX_VALUE;
        }
    }
}
