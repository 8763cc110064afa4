package loadbalancer.policy.data;

/** A token bucket whose refill is computed by its owner. It may be in debt. */
public final class TokenBucket {
    private double tokens;
    private long refilledAtMicros;

    /** Restarts with this many tokens; fewer than 0 is a debt. */
    public void restart(double initialTokens, long nowMicros) {
        tokens = initialTokens;
        refilledAtMicros = nowMicros;
    }

    /** Time since the last refill. */
    public long microsSinceRefill(long nowMicros) {
        return nowMicros - refilledAtMicros;
    }

    /** Adds tokens, up to {@code maxTokens} in all. */
    public void refill(double addedTokens, double maxTokens, long nowMicros) {
        tokens = Math.min(maxTokens, tokens + addedTokens);
        refilledAtMicros = nowMicros;
    }

    /** Removes tokens, whether or not they are there. */
    public void spend(double spentTokens) {
        tokens -= spentTokens;
    }

    /** The tokens now in the bucket. */
    public double tokens() {
        return tokens;
    }
}
