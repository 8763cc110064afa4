package loadbalancer.policy.data;

import java.util.random.RandomGenerator;

/** Randomized intervals, so that balancers do not act at the same time. */
public final class Jitter {
    private Jitter() {}

    /** Returns a random interval from 0.5 to below 1.5 times the mean. Draws one random number. */
    public static long around(long mean, RandomGenerator random) {
        return mean / 2 + random.nextLong(mean);
    }
}
