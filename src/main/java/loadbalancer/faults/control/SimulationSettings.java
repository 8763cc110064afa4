package loadbalancer.faults.control;

import java.util.random.RandomGenerator;
import loadbalancer.control.publish.PublisherLimits;

/**
 * The size of one simulation, drawn from its seed.
 *
 * @param seed of all that is drawn
 * @param subscribers balancers
 * @param zones that they stand in
 * @param services that there may be
 * @param tenantsOfAService at the beginning
 * @param changes that are submitted
 * @param faults that are injected
 * @param activeMillis virtual time in which changes and faults begin
 * @param publisherLimits of all control machines
 */
record SimulationSettings(
        long seed,
        int subscribers,
        int zones,
        int services,
        int tenantsOfAService,
        int changes,
        int faults,
        long activeMillis,
        PublisherLimits publisherLimits) {
    /** A subscriber that hears nothing for so long opens anew. */
    static final long SILENCE_MILLIS = 3_500;

    static final long FIRST_RETRY_MILLIS = 200;
    static final long LONGEST_RETRY_MILLIS = 2_000;

    /** Resources that a subscriber applies in one slice. */
    static final int SLICE_RESOURCES = 16;

    /** Draws a small simulation. */
    static SimulationSettings drawn(long seed, RandomGenerator random) {
        return drawn(seed, 4 + random.nextInt(16), random);
    }

    /** Draws a simulation of so many subscribers. */
    static SimulationSettings drawn(long seed, int subscribers, RandomGenerator random) {
        return new SimulationSettings(
                seed,
                subscribers,
                1 + random.nextInt(3),
                2 + random.nextInt(8),
                2 + random.nextInt(20),
                20 + random.nextInt(40),
                2 + random.nextInt(7),
                20_000 + random.nextInt(40_000),
                drawLimits(subscribers, random));
    }

    private static PublisherLimits drawLimits(int subscribers, RandomGenerator random) {
        double admissionsPerSecond = subscribers * (0.4 + random.nextDouble());
        long subscriberBytes = 60_000 + random.nextInt(400_000);
        long bytes = subscriberBytes * Math.max(4, subscribers / 2);
        int partBytes = 300 + random.nextInt(3_000);
        long heartbeat = 500 + random.nextInt(1_000);
        int retainedDeletions = random.nextBoolean() ? random.nextInt(20) : 1_000;
        return new PublisherLimits(
                2 * subscribers + 10,
                admissionsPerSecond,
                bytes,
                subscriberBytes,
                partBytes,
                heartbeat,
                retainedDeletions);
    }
}
