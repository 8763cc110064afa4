package loadbalancer.fleet.membership;

/**
 * Time as this member lived through it. A process that was stopped for a while finds all its
 * time-outs over though the answers lie unread in its socket. So time that passed unseen is left
 * out, and stands still for a grace afterwards in which what has arrived can be read.
 */
final class UninterruptedTime {
    private final long tolerance;
    private final long grace;
    private long skipped;
    private long last;
    private long due = Long.MAX_VALUE;

    /** Being called later than that after the promised instant counts as having been away. */
    UninterruptedTime(long now, long tolerance, long grace) {
        this.tolerance = tolerance;
        this.grace = grace;
        this.last = now;
    }

    /** By how much a call at that instant comes too late. */
    long late(long now) {
        return due == Long.MAX_VALUE ? 0 : Math.max(0, now - due);
    }

    /** Leaves out what passed unseen; whether there was any. */
    boolean skip(long now) {
        if (late(now) <= tolerance) {
            return false;
        }
        skipped = now + grace - last;
        return true;
    }

    /** The steady time of an instant; never goes back. */
    long steady(long now) {
        last = Math.max(last, now - skipped);
        return last;
    }

    /**
     * The next call is wanted at that steady time; gives the instant. What a packet has made due by
     * now is not late yet; what was promised before and not kept still is.
     */
    long expect(long steady) {
        due =
                steady < last
                        ? Math.min(due, last + skipped)
                        : steady == Long.MAX_VALUE ? steady : steady + skipped;
        return due;
    }
}
