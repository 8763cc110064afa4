package loadbalancer.policy.state;

/** State of the concurrency limit of one endpoint. */
public final class ConcurrencyLimitState {
    private double limit;
    private long lastDecreaseAtMicros;
    private long pausedUntilMicros;

    /**
     * Returns how many requests this balancer may have in flight at the endpoint; may be below 1.
     */
    public double limit() {
        return limit;
    }

    /** Replaces the limit. */
    public void setLimit(double requests) {
        limit = requests;
    }

    /** Decreases the limit after a response that waited too long. */
    public void decreaseLimit(double requests, long nowMicros) {
        limit = requests;
        lastDecreaseAtMicros = nowMicros;
    }

    /** Returns when the limit was last decreased because of waiting. */
    public long lastDecreaseAtMicros() {
        return lastDecreaseAtMicros;
    }

    /** Pauses requests to the endpoint until the given time. */
    public void pauseUntil(long untilMicros) {
        pausedUntilMicros = untilMicros;
    }

    /** Returns whether requests to the endpoint are paused. */
    public boolean isPaused(long nowMicros) {
        return pausedUntilMicros > nowMicros;
    }
}
