package loadbalancer.policy.data;

import java.util.random.RandomGenerator;

/** Randomised intervals, so that balancers do not act at the same moment. */
public final class Jitter {
    private Jitter() {}

    /** An interval from 0.5 to below 1.5 times the mean, in the mean's unit. Draws once. */
    public static long around(long mean, RandomGenerator random) {
        return mean / 2 + random.nextLong(mean);
    }
}
