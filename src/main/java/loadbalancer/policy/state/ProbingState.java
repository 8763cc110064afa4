package loadbalancer.policy.state;

/** What probing keeps of an upstream. */
public final class ProbingState {
    /** When it was last asked before a pick. */
    public long askedAt = OutlierState.NEVER;

    /** When it was last probed apart from that. */
    public long probedAt = OutlierState.NEVER;

    /** Whether it ever was: what answers otherwise is meant for the process before it. */
    public boolean asked() {
        return askedAt > OutlierState.NEVER;
    }

    /** What probing keeps beside. */
    public static final class Own {
        /** Until when a pick waits for answers. */
        public long decideAt;

        /** When to probe next. */
        public long nextProbe;

        /** What may be asked. */
        public double tokens;

        /** The usual round trip of a probe, in microseconds. */
        public double took;
    }
}
