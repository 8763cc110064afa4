package loadbalancer.lab.rollout;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Upstreams of a zone that fail by themselves: one incident in 15 minutes, a minute long on
 * average.
 */
final class Incidents {
    private static final double BEGINS = 5.0 / 900;
    private static final double ENDS = 5.0 / 60;

    private final UniformRandomProvider random;
    private double depth;

    Incidents(UniformRandomProvider random) {
        this.random = random;
    }

    /** How deep the present one is, from 0 for none to 1. */
    double next() {
        double draw = random.nextDouble();
        double next = random.nextDouble();
        if (depth == 0 && draw < BEGINS) {
            depth = next;
        } else if (depth > 0 && draw < ENDS) {
            depth = 0;
        }
        return depth;
    }
}
