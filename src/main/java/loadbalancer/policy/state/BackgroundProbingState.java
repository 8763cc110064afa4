package loadbalancer.policy.state;

/** State of background probing for one endpoint. */
public final class BackgroundProbingState {
    private long lastProbedAtMicros = Timestamps.NEVER_MICROS;

    /** Returns when the endpoint was last probed in the background. */
    public long lastProbedAtMicros() {
        return lastProbedAtMicros;
    }

    /** Records that a background probe was sent. */
    public void recordProbe(long nowMicros) {
        lastProbedAtMicros = nowMicros;
    }
}
