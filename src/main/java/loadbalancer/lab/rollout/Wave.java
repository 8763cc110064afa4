package loadbalancer.lab.rollout;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Trouble that comes and goes by itself: an autoregressive process of order one, with mean 0. */
final class Wave {
    private final UniformRandomProvider random;
    private final double keep;
    private final double step;
    private double value;

    /** With that standard deviation, and so many windows until a 1/e of it is left. */
    Wave(UniformRandomProvider random, double deviation, double windows) {
        this.random = random;
        this.keep = Math.exp(-1 / windows);
        this.step = deviation * Math.sqrt(1 - keep * keep);
        this.value = deviation * ZigguratSampler.NormalizedGaussian.of(random).sample();
    }

    double next() {
        value = keep * value + step * ZigguratSampler.NormalizedGaussian.of(random).sample();
        return value;
    }
}
