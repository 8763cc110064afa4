package loadbalancer.policy.state;

/** What background probing keeps of one endpoint. */
public final class BackgroundProbingState {
    private long lastProbedAtMicros = Timestamps.NEVER_MICROS;

    /** When it was last probed in the background. */
    public long lastProbedAtMicros() {
        return lastProbedAtMicros;
    }

    /** Records a probe. */
    public void recordProbe(long nowMicros) {
        lastProbedAtMicros = nowMicros;
    }
}
