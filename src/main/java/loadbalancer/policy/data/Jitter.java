package loadbalancer.policy.data;

import java.util.random.RandomGenerator;

/** Times that are spread, so that what all balancers do they don't do at one moment. */
public final class Jitter {
    private Jitter() {}

    /** A time between a half and one and a half of the mean. */
    public static long around(long mean, RandomGenerator random) {
        return mean / 2 + random.nextLong(mean);
    }
}
