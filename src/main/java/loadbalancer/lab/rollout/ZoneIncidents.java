package loadbalancer.lab.rollout;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Incidents of a zone's upstreams, which no program causes: one in 15 minutes, a minute long on
 * average. Not thread-safe.
 */
final class ZoneIncidents {
    /** Probabilities for each window of 5 s. */
    private static final double BEGIN_PROBABILITY = 5.0 / 900;

    private static final double END_PROBABILITY = 5.0 / 60;

    private final UniformRandomProvider random;
    private double severity;

    ZoneIncidents(UniformRandomProvider random) {
        this.random = random;
    }

    /** Severity in the next window, from 0 for no incident to 1. */
    double next() {
        double draw = random.nextDouble();
        double newSeverity = random.nextDouble();
        if (severity == 0 && draw < BEGIN_PROBABILITY) {
            severity = newSeverity;
        } else if (severity > 0 && draw < END_PROBABILITY) {
            severity = 0;
        }
        return severity;
    }
}
