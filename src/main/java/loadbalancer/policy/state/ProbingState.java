package loadbalancer.policy.state;

/** State of load probing before a pick for one endpoint. */
public final class ProbingState {
    private long lastProbedAtMicros = Timestamps.NEVER_MICROS;

    /** Returns when the endpoint was last probed before a pick. */
    public long lastProbedAtMicros() {
        return lastProbedAtMicros;
    }

    /** Records that a probe was sent. */
    public void recordProbe(long nowMicros) {
        lastProbedAtMicros = nowMicros;
    }

    /**
     * Returns whether this process was ever probed. A reply without a probe belongs to its
     * predecessor.
     */
    public boolean wasProbed() {
        return lastProbedAtMicros > Timestamps.NEVER_MICROS;
    }
}
