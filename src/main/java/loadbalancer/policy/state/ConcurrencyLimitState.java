package loadbalancer.policy.state;

/** What the in-flight limit keeps of an upstream. */
public final class ConcurrencyLimitState {
    /** Requests in flight by this balancer. */
    public double limit;

    /** When it was last cut. */
    public long cutAt;

    /** Until when the upstream is left alone. */
    public long restUntil;
}
