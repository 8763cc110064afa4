package loadbalancer.lab;

import java.lang.management.ManagementFactory;
import java.util.Locale;
import loadbalancer.lab.baseline.BalancerUnderTest;
import loadbalancer.lab.scenario.Scenario;
import loadbalancer.lab.sim.Simulation;

/**
 * Measures the emulator itself. Nothing of it goes into results, which must not depend on a
 * machine.
 */
public final class Speed {
    private Speed() {}

    /** Plays a scenario once on this thread; a line with its speed and memory. */
    public static String measure(Scenario scenario, String policy, long seed) {
        Simulation.Timing t = Simulation.time(scenario, BalancerUnderTest.all().get(policy), seed);
        double s = t.nanos() / 1e9;
        long tries = t.result().clientTries();
        System.gc();
        double heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1e6;
        return String.format(
                Locale.ROOT,
                "%s: %d first tries, %d tries, %d events in %.2f s; %.0f events/s, %.0f tries/s;"
                    + " balancers' own code %.2f s, %.2f us a try; peak heap %.0f MB, left %.0f MB",
                policy,
                t.result().firstTries(),
                tries,
                t.result().events(),
                s,
                t.result().events() / s,
                tries / s,
                t.balancerNanos() / 1e9,
                t.balancerNanos() / 1e3 / Math.max(1, tries),
                peak(),
                heap);
    }

    private static double peak() {
        return ManagementFactory.getMemoryPoolMXBeans().stream()
                        .filter(p -> p.getType() == java.lang.management.MemoryType.HEAP)
                        .mapToLong(p -> p.getPeakUsage().getUsed())
                        .sum()
                / 1e6;
    }
}
