package loadbalancer.fleet.membership;

/**
 * Lifeguard's local health multiplier: a score of 0 is healthy. Probe intervals and timeouts are
 * multiplied by the score plus one, since a starved local process makes others seem dead. For the
 * thread of {@link Swim}; knows no time.
 */
final class LocalHealthMultiplier {
    /** Lifeguard's S: the slowest probing has nine times the usual interval. */
    static final int MAX_SCORE = 8;

    private int score;
    private boolean hasRefuted;

    int score() {
        return score;
    }

    long scale(long micros) {
        return micros * (score + 1);
    }

    void increase(int by) {
        score = Math.min(MAX_SCORE, score + Math.max(0, by));
    }

    /** A probe was acked in time. */
    void onProbeAcked() {
        score = Math.max(0, score - 1);
        hasRefuted = false;
    }

    /**
     * This member had to refute a suspicion. Counts once between two acked probes, or one malicious
     * member that repeats it would slow everybody's probes.
     */
    void onRefutation() {
        if (!hasRefuted) {
            hasRefuted = true;
            increase(1);
        }
    }
}
