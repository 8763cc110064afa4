package loadbalancer.policy.state;

/** What probing before a pick keeps of one endpoint. */
public final class ProbingState {
    private long lastProbedAtMicros = Timestamps.NEVER_MICROS;

    /** When it was last probed before a pick. */
    public long lastProbedAtMicros() {
        return lastProbedAtMicros;
    }

    /** Records a probe. */
    public void recordProbe(long nowMicros) {
        lastProbedAtMicros = nowMicros;
    }

    /** Whether this process was ever probed; a reply without that belongs to its predecessor. */
    public boolean wasProbed() {
        return lastProbedAtMicros > Timestamps.NEVER_MICROS;
    }
}
