package loadbalancer.faults.fleet;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import loadbalancer.fleet.membership.Health;

/**
 * Simulates membership in virtual time and prints its metrics to standard output. Run it manually:
 * {@code java -cp target/classes:target/lib/* loadbalancer.faults.fleet.SwimReport [seeds]}.
 */
public final class SwimReport {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int DEFAULT_SEEDS = 10;
    private static final List<Integer> SIZES = List.of(10, 100, 1000);
    private static final List<Double> LOSS_PROBABILITIES = List.of(0.0, 0.1);

    /** Size of the largest fleet, which is simulated with few seeds since it takes long. */
    private static final int LARGE_SIZE = 1000;

    private static final int LARGE_SIZE_SEEDS = 3;
    private static final int TRAFFIC_SECONDS = 60;
    private static final int FALSE_DETECTION_SECONDS = 120;
    private static final int SUSPENSION_INTERVAL_SECONDS = 6;
    private static final int SUSPENSION_SECONDS = 5;

    private SwimReport() {}

    /** Runs the simulations; the only argument is the number of seeds, 10 by default. */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
        for (int size : SIZES) {
            int usedSeeds = size == LARGE_SIZE ? Math.min(LARGE_SIZE_SEEDS, seeds) : seeds;
            printTraffic(size);
            for (double loss : LOSS_PROBABILITIES) {
                printDetection(size, usedSeeds, loss);
            }
            printFalseDetections(size, usedSeeds, 0.1, false);
            printFalseDetections(size, usedSeeds, 0.0, true);
            printPartition(size, usedSeeds);
        }
    }

    private static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    private static void printTraffic(int size) {
        SwimSimulation simulation = SwimSimulation.converged(1, size);
        simulation.network().run(10 * SECOND_MICROS);
        SwimSimulation.Traffic before = simulation.traffic();
        simulation.network().run(TRAFFIC_SECONDS * SECOND_MICROS);
        SwimSimulation.Traffic sent = simulation.traffic().since(before);
        double memberSeconds = (double) TRAFFIC_SECONDS * size;
        print(
                "%4d members, idle: %.2f packets and %.0f bytes per second and member",
                size, sent.packets() / memberSeconds, sent.bytes() / memberSeconds);
    }

    private static void printDetection(int size, int seeds, double loss) {
        double sum = 0;
        double max = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            SwimSimulation simulation = SwimSimulation.converged(seed, size);
            simulation.network().conditions().setProbabilities(loss, 0, 0);
            int killedMember = new SplittableRandom(seed).nextInt(size);
            simulation.process(killedMember).kill();
            double seconds =
                    simulation.runUntil(
                            300,
                            s ->
                                    s.countObservers(killedMember, m -> m.health() == Health.DEAD)
                                            == size - 1);
            sum += seconds;
            max = Math.max(max, seconds);
        }
        print(
                "%4d members, loss %.0f%%: all detected a killed member in %.1f s on the mean of %d"
                        + " seeds, %.1f at most",
                size, loss * 100, sum / seeds, seeds, max);
    }

    private static void printFalseDetections(
            int size, int seeds, double loss, boolean hasSuspensions) {
        long running = 0;
        long suspended = 0;
        int runningMembers = 0;
        int suspendedMembers = 0;
        int suspensions = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            SwimSimulation simulation = SwimSimulation.converged(seed, size);
            simulation.network().conditions().setProbabilities(loss, 0, 0);
            suspensions += runWithSuspensions(simulation, seed, size, hasSuspensions);
            running += simulation.falseDetections();
            suspended += simulation.suspendedDetections();
            runningMembers += simulation.falselyDead().size();
            suspendedMembers += simulation.suspendedDead().size();
        }
        print(
                "%4d members, loss %.0f%%, %d suspensions of 5 s, %d seeds of 120 s: considered"
                        + " dead while running: %d (%d members); while suspended: %d (%d members)",
                size,
                loss * 100,
                suspensions,
                seeds,
                running,
                runningMembers,
                suspended,
                suspendedMembers);
    }

    /** Runs the simulation of one seed; returns how many suspensions it had. */
    private static int runWithSuspensions(
            SwimSimulation simulation, int seed, int size, boolean hasSuspensions) {
        SplittableRandom random = new SplittableRandom(seed);
        int suspensions = 0;
        for (int second = 0; second < FALSE_DETECTION_SECONDS; second++) {
            VirtualProcess<?> process = simulation.process(random.nextInt(size));
            if (hasSuspensions && second % SUSPENSION_INTERVAL_SECONDS == 0) {
                process.suspend();
                simulation.network().schedule(SUSPENSION_SECONDS * SECOND_MICROS, process::resume);
                suspensions++;
            }
            simulation.network().run(SECOND_MICROS);
        }
        return suspensions;
    }

    private static void printPartition(int size, int seeds) {
        double maxDetectionSeconds = 0;
        double maxMergeSeconds = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            SwimSimulation simulation = SwimSimulation.converged(seed, size);
            simulation
                    .network()
                    .conditions()
                    .cutWhere((from, to) -> isInFirstHalf(from, size) != isInFirstHalf(to, size));
            double detectionSeconds = simulation.runUntil(600, s -> areHalvesDead(s, size));
            maxDetectionSeconds = Math.max(maxDetectionSeconds, detectionSeconds);
            simulation.network().run(10 * SECOND_MICROS);
            simulation.network().conditions().heal();
            double mergeSeconds = simulation.runUntil(600, SwimSimulation::hasConverged);
            maxMergeSeconds = Math.max(maxMergeSeconds, mergeSeconds);
        }
        print(
                "%4d members, partition: other half dead after %.1f s at most, converged %.1f s"
                        + " after the end at most",
                size, maxDetectionSeconds, maxMergeSeconds);
    }

    private static boolean areHalvesDead(SwimSimulation simulation, int size) {
        return simulation.swim(0).countPeers(Health.DEAD) >= size / 2
                && simulation.swim(size - 1).countPeers(Health.DEAD) >= size / 2;
    }

    private static boolean isInFirstHalf(String address, int size) {
        String[] parts = address.split("[.:]");
        return Integer.parseInt(parts[2]) * 200 + Integer.parseInt(parts[3]) - 1 < size / 2;
    }
}
