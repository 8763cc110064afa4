package loadbalancer.lab.rollout;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Gaussian noise that is correlated over windows: an AR(1) process with mean 0. Not thread-safe.
 */
final class AutoregressiveProcess {
    private final UniformRandomProvider random;
    private final double coefficient;
    private final double innovationDeviation;
    private double value;

    /**
     * Begins in its stationary distribution.
     *
     * @param deviation its standard deviation
     * @param windows after which 1/e of a value is left
     */
    AutoregressiveProcess(UniformRandomProvider random, double deviation, double windows) {
        this.random = random;
        this.coefficient = Math.exp(-1 / windows);
        this.innovationDeviation = deviation * Math.sqrt(1 - coefficient * coefficient);
        this.value = deviation * ZigguratSampler.NormalizedGaussian.of(random).sample();
    }

    /** The value of the next window. */
    double next() {
        value =
                coefficient * value
                        + innovationDeviation
                                * ZigguratSampler.NormalizedGaussian.of(random).sample();
        return value;
    }
}
