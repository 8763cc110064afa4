package loadbalancer.policy.data;

/**
 * A token bucket whose owner computes the refill. The number of tokens may be negative, which is a
 * debt.
 */
public final class TokenBucket {
    private double tokens;
    private long refilledAtMicros;

    /** Replaces the tokens; a negative number is a debt. */
    public void restart(double initialTokens, long nowMicros) {
        tokens = initialTokens;
        refilledAtMicros = nowMicros;
    }

    /** Returns the time since the last refill. */
    public long microsSinceRefill(long nowMicros) {
        return nowMicros - refilledAtMicros;
    }

    /** Adds tokens, up to a total of {@code maxTokens}. */
    public void refill(double addedTokens, double maxTokens, long nowMicros) {
        tokens = Math.min(maxTokens, tokens + addedTokens);
        refilledAtMicros = nowMicros;
    }

    /** Removes tokens; the bucket may go into debt. */
    public void spend(double spentTokens) {
        tokens -= spentTokens;
    }

    /** Returns the current number of tokens; negative for a debt. */
    public double tokens() {
        return tokens;
    }
}
