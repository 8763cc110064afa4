package loadbalancer.faults.control;

import java.util.random.RandomGenerator;
import java.util.random.RandomGenerator.SplittableGenerator;
import loadbalancer.faults.control.oracle.DistributionOracle;

/**
 * What all processes of a simulation share.
 *
 * @param settings drawn from the seed
 * @param queue virtual time
 * @param network connections between the processes
 * @param oracle checks what they do
 * @param trace notes what they do
 * @param random source of the processes' own sources
 */
record SimulationContext(
        SimulationSettings settings,
        EventQueue queue,
        StreamNetwork network,
        DistributionOracle oracle,
        Trace trace,
        SplittableGenerator random) {
    /** A source of chance of its own, so that one process's draws don't shift another's. */
    RandomGenerator newRandom() {
        return random.split();
    }

    long now() {
        return queue.now();
    }
}
