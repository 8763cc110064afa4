package loadbalancer.fleet.membership;

/**
 * Lifeguard's local health multiplier: 0 for well. Periods and time-outs of probes are longer by so
 * many times, since what makes others seem dead may be one's own starved process.
 */
final class LocalHealthMultiplier {
    /** Lifeguard's S: the slowest probing is nine times the usual period. */
    static final int MOST = 8;

    private int level;
    private boolean refuted;

    int level() {
        return level;
    }

    long stretched(long time) {
        return time * (level + 1);
    }

    void raise(int by) {
        level = Math.min(MOST, level + Math.max(0, by));
    }

    /** A probe was answered in time. */
    void lower() {
        level = Math.max(0, level - 1);
        refuted = false;
    }

    /**
     * This member had to say that it lives. Counts once between two answered probes, or one liar
     * that says so again and again would slow everybody's probes.
     */
    void refuted() {
        if (!refuted) {
            refuted = true;
            raise(1);
        }
    }
}
