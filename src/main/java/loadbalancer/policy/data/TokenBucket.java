package loadbalancer.policy.data;

/** Savings that grow with time up to a bound, and are spent. */
public final class TokenBucket {
    private double tokens;
    private long at;

    /** Starts with so much; a debt is possible. */
    public void start(double saved, long now) {
        tokens = saved;
        at = now;
    }

    /** How long ago it was last filled. */
    public long since(long now) {
        return now - at;
    }

    /** Adds what was earned since the last time, up to {@code most} in all. */
    public void fill(double earned, double most, long now) {
        tokens = Math.min(most, tokens + earned);
        at = now;
    }

    /** Takes so much out, whether or not it is there. */
    public void spend(double amount) {
        tokens -= amount;
    }

    /** What it holds. */
    public double tokens() {
        return tokens;
    }
}
