package loadbalancer.faults.process.check;

/**
 * Something the rig did that excuses a balancer from a rule.
 *
 * @param upstream whose link it was, null for all or where it does not matter
 * @param to when it was over; the same as {@code from} for what takes no time
 */
public record Disturbance(Kind kind, int balancer, String upstream, long from, long to) {
    /** What it was. */
    public enum Kind {
        /** A process began to serve: what was told to those before it is news to it. */
        BEGAN,
        /** A process was killed, or crashed by order; until the next one served. */
        KILLED,
        /** SIGTERM, with no successor; until the next one served. */
        STOPPED,
        /** SIGTERM, with a successor in place. */
        HANDED_OVER,
        /** The process did not run: SIGSTOP. */
        PAUSED,
        /** The process was held up at each write, or its system calls failed. */
        HELD_UP,
        /** Bytes between it and the upstream did not come, or came late. */
        LINK,
        /** The same between it and discovery. */
        DISCOVERY
    }

    boolean of(Kind of, int whose) {
        return kind == of && balancer == whose;
    }

    boolean touches(long begin, long end) {
        return from <= end && to >= begin;
    }
}
