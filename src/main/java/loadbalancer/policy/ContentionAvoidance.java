package loadbalancer.policy;

import java.util.random.RandomGenerator;

/**
 * Keeps balancers from sending their pending requests to the same freed capacity.
 *
 * <p>If balancers exchange in-flight counts, only a random part of the sweeps sends pending
 * requests. Messages of peers arrive with a network delay, and until they do, all balancers that
 * use an endpoint would claim the same free capacity.
 *
 * <p>Applies to sweeps only, not to other events.
 */
final class ContentionAvoidance {
    /** Probability that a sweep sends pending requests if balancers exchange in-flight counts. */
    private static final double SEND_PROBABILITY = 0.25;

    private final DerivedSettings settings;
    private final RandomGenerator random;

    ContentionAvoidance(DerivedSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /** Returns whether this sweep may send pending requests. */
    boolean maySendOnSweep() {
        return !settings.exchangesInFlight() || random.nextDouble() < SEND_PROBABILITY;
    }
}
