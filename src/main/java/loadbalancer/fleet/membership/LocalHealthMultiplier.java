package loadbalancer.fleet.membership;

/**
 * Lifeguard's local health multiplier: a score of 0 is healthy. Probe intervals and timeouts are
 * multiplied by the score plus one, since a local process that lacks processor time would consider
 * others dead. For the thread of {@link Swim}; independent of time.
 */
final class LocalHealthMultiplier {
    /** Lifeguard's S: probe intervals grow to nine times the usual one at most. */
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

    /** Lowers the score by one after a probe that was acked in time. */
    void onProbeAcked() {
        score = Math.max(0, score - 1);
        hasRefuted = false;
    }

    /**
     * Raises the score by one after this member refuted a suspicion, once between two acked probes:
     * otherwise a malicious member could slow down the probes of others with repeated suspicions.
     */
    void onRefutation() {
        if (!hasRefuted) {
            hasRefuted = true;
            increase(1);
        }
    }
}
