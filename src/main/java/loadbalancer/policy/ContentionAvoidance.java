package loadbalancer.policy;

import java.util.random.RandomGenerator;

/**
 * Keeps balancers from sending their pending requests to the same freed capacity.
 *
 * <p>Decides whether a sweep sends pending requests. Messages of peers are a network delay old:
 * between them, all balancers that use an endpoint would take the same freed place.
 *
 * <p>Inputs: whether balancers exchange in-flight counts; then one random number for each sweep.
 *
 * <p>Never applies to sending after an event other than a sweep.
 */
final class ContentionAvoidance {
    /** Chance of a sweep to send pending requests where peers have pending requests too. */
    private static final double SEND_PROBABILITY = 0.25;

    private final DerivedSettings settings;
    private final RandomGenerator random;

    ContentionAvoidance(DerivedSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /** Whether this sweep may send pending requests. */
    boolean maySendOnSweep() {
        return !settings.exchangesInFlight() || random.nextDouble() < SEND_PROBABILITY;
    }
}
