package loadbalancer.lab.sim;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Draws that several parts need. */
final class Draws {
    private Draws() {}

    /** A delay around a mean, with a log-normal factor of median 1; whole microseconds. */
    static long jittered(UniformRandomProvider random, long delay, double sigma) {
        return sigma == 0 ? delay : Math.round(delay * factor(random, sigma));
    }

    /** A log-normal factor of median 1. */
    static double factor(UniformRandomProvider random, double sigma) {
        return sigma == 0
                ? 1
                : Math.exp(sigma * ZigguratSampler.NormalizedGaussian.of(random).sample());
    }

    /** Exponential with that mean. */
    static double exponential(UniformRandomProvider random, double mean) {
        return mean * ZigguratSampler.Exponential.of(random).sample();
    }

    /** Uniform from 0 up to and without {@code bound}; 0 where that is 0. */
    static long upTo(UniformRandomProvider random, long bound) {
        return bound <= 0 ? 0 : random.nextLong(bound);
    }
}
