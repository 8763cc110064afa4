package loadbalancer.policy.state;

import loadbalancer.policy.data.TokenBucket;

/** What the cold budget keeps of an upstream. */
public final class SlowStartState {
    /** What it may still get, in work. */
    public final TokenBucket bucket = new TokenBucket();

    /** Work it did lately for this balancer, in each microsecond. */
    public double doneRate;

    /** Work it did since the last period began. */
    public double doneWork;

    /** What the cold budget keeps beside. */
    public static final class Own {
        /** Work that a warm upstream of rating 1 does for this balancer, in each microsecond. */
        public double warmRate;
    }
}
