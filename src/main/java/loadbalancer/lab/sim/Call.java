package loadbalancer.lab.sim;

/**
 * What a client wants once: its first try with all further ones. Worth is counted here and nowhere
 * else.
 */
final class Call {
    final long number;
    final TrafficClass trafficClass;
    final int classIndex;
    final int tenant;
    final int key;
    final int zone;
    final long start;
    final long giveUp;
    final double work;
    final double worth;
    final boolean withinShare;
    final boolean honours;

    /** When an impatient client leaves; {@code Long.MAX_VALUE} for the others. */
    long leavesAt = Long.MAX_VALUE;

    int retriesLeft;
    int tries;
    boolean over;
    Try current;

    /**
     * When this request first may have taken effect, for the window of keyed classes; -1 before.
     */
    long effectAt = -1;

    Server effectServer;

    /**
     * When its first attempt that may have run was sent; a client repeats within the window only.
     */
    long firstSentAt = -1;

    Call(
            long number,
            TrafficClass trafficClass,
            int classIndex,
            int tenant,
            int key,
            int zone,
            long start,
            double work,
            double worth,
            boolean withinShare,
            boolean honours) {
        this.number = number;
        this.trafficClass = trafficClass;
        this.classIndex = classIndex;
        this.tenant = tenant;
        this.key = key;
        this.zone = zone;
        this.start = start;
        this.giveUp = start + trafficClass.told.clientTimeoutMicros();
        this.work = work;
        this.worth = worth;
        this.withinShare = withinShare;
        this.honours = honours;
    }
}
