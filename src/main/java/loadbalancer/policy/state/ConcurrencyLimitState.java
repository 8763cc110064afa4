package loadbalancer.policy.state;

/** What the concurrency limit keeps of one endpoint. */
public final class ConcurrencyLimitState {
    private double limit;
    private long lastCutAtMicros;
    private long restUntilMicros;

    /** Requests that this balancer may have in flight; may be below 1. */
    public double limit() {
        return limit;
    }

    /** Replaces the limit. */
    public void setLimit(double requests) {
        limit = requests;
    }

    /** Lowers the limit after a response that waited too long. */
    public void cutLimit(double requests, long nowMicros) {
        limit = requests;
        lastCutAtMicros = nowMicros;
    }

    /** When the limit was last cut for long waiting. */
    public long lastCutAtMicros() {
        return lastCutAtMicros;
    }

    /** Gives the endpoint no requests until then. */
    public void restUntil(long untilMicros) {
        restUntilMicros = untilMicros;
    }

    /** Whether the endpoint is given no requests now. */
    public boolean isResting(long nowMicros) {
        return restUntilMicros > nowMicros;
    }
}
