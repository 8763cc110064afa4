package loadbalancer.node.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Histories of a balancer's processes, against a small model of processes. */
class ProcessSupervisorTest {
    private static final Variant OLD = new Variant("old", "");
    private static final Variant NEW = new Variant("new", "");
    private static final long SECOND = 1_000_000;

    /** What the processes of one program do. */
    private enum Fate {
        GOOD,
        CRASHES,
        NEVER_READY,
        CRASHES_LATER
    }

    private static final class Simulation {
        record Process(Variant variant, long startedAt, long endsAt) {
            Process endingAt(long micros) {
                return new Process(variant, startedAt, micros);
            }
        }

        final Random random;
        final Map<Variant, Fate> fates = new HashMap<>();
        final Map<Integer, Process> alive = new HashMap<>();
        final ProcessSupervisor supervisor;
        Variant serves;
        int starts;
        int failed;
        long now;

        Simulation(long seed) {
            random = new Random(seed);
            supervisor = new ProcessSupervisor(OLD, null, random);
        }

        void run(int seconds) {
            for (long end = now + seconds * SECOND; now < end; now += SECOND / 5) {
                step();
            }
        }

        private void step() {
            for (int number : new TreeSet<>(alive.keySet())) {
                Process process = alive.get(number);
                Fate fate = fates.getOrDefault(process.variant, Fate.GOOD);
                long age = now - process.startedAt;
                boolean dies =
                        now >= process.endsAt
                                || fate == Fate.CRASHES && age > SECOND
                                || fate == Fate.CRASHES_LATER && age > 20 * SECOND;
                if (dies) {
                    alive.remove(number);
                    supervisor.onExited(now, number);
                } else if (age > 3 * SECOND && fate != Fate.NEVER_READY) {
                    supervisor.onReady(now, number);
                }
            }
            supervisor.tick(now).forEach(this::execute);
            assertTrue(alive.size() <= 2, "at most two processes at one time");
        }

        private void execute(SupervisorAction action) {
            if (action instanceof SupervisorAction.Start start) {
                alive.put(start.process(), new Process(start.variant(), now, Long.MAX_VALUE));
                starts++;
            } else if (action instanceof SupervisorAction.Terminate terminate) {
                alive.computeIfPresent(
                        terminate.process(),
                        (number, process) ->
                                process.endingAt(
                                        random.nextInt(5) == 0
                                                ? Long.MAX_VALUE
                                                : now + 2 * SECOND));
            } else if (action instanceof SupervisorAction.Kill kill) {
                alive.computeIfPresent(kill.process(), (number, process) -> process.endingAt(now));
            } else if (action instanceof SupervisorAction.Serving serving) {
                serves = serving.variant();
            } else {
                failed++;
            }
        }
    }

    private static Simulation serving(long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(10);
        assertEquals(OLD, simulation.serves);
        return simulation;
    }

    @Test
    void predecessorServesUntilTheSuccessorIsReadyAndThenEnds() {
        Simulation simulation = serving(1);
        simulation.supervisor.setDesired(NEW, OLD);
        simulation.run(2);
        assertEquals(OLD, simulation.serves);
        assertEquals(2, simulation.alive.size());
        simulation.run(30);
        assertEquals(NEW, simulation.serves);
        assertEquals(1, simulation.alive.size());
    }

    @Test
    void variantThatFailsThreeTimesIsGivenUpWhileTheOldOneServes() {
        for (Fate fate : new Fate[] {Fate.CRASHES, Fate.NEVER_READY}) {
            Simulation simulation = serving(2);
            simulation.fates.put(NEW, fate);
            simulation.supervisor.setDesired(NEW, OLD);
            for (int i = 0; i < 300; i++) {
                simulation.run(1);
                assertTrue(
                        simulation.alive.values().stream()
                                .anyMatch(process -> process.variant().equals(OLD)));
            }
            assertEquals(1, simulation.failed);
            assertEquals(4, simulation.starts, "one of the old, three tries of the new");
            assertEquals(OLD, simulation.supervisor.desired());
        }
    }

    @Test
    void variantThatCrashesSoonAfterItServesIsReplacedByTheFallback() {
        Simulation simulation = serving(3);
        simulation.fates.put(NEW, Fate.CRASHES_LATER);
        simulation.supervisor.setDesired(NEW, OLD);
        simulation.run(300);
        assertEquals(1, simulation.failed);
        assertEquals(OLD, simulation.serves);
    }

    @Test
    void withoutAFallbackStartsAreRepeatedForEverWithBackoff() {
        Simulation simulation = new Simulation(4);
        simulation.fates.put(OLD, Fate.CRASHES);
        simulation.run(3_600);
        assertTrue(
                simulation.starts > 100 && simulation.starts < 260,
                "starts in an hour: " + simulation.starts);
        simulation.fates.clear();
        simulation.run(60);
        assertEquals(OLD, simulation.serves);
        assertEquals(0, simulation.failed);
    }

    @Test
    void adoptedProcessesServeAndAnUnfinishedHandOverIsEnded() {
        Simulation simulation = new Simulation(5);
        simulation.alive.put(
                simulation.supervisor.adopt(0, OLD),
                new Simulation.Process(OLD, -60 * SECOND, Long.MAX_VALUE));
        simulation.alive.put(
                simulation.supervisor.adopt(0, NEW),
                new Simulation.Process(NEW, 0, Long.MAX_VALUE));
        simulation.run(60);
        assertEquals(0, simulation.starts);
        assertEquals(OLD, simulation.serves);
        assertEquals(1, simulation.alive.size());
    }

    @Test
    void desiredVariantServesAtTheEndOfRandomHistories() {
        for (int seed = 0; seed < 300; seed++) {
            Simulation simulation = new Simulation(seed);
            for (int i = 0; i < 15; i++) {
                Variant variant = simulation.random.nextBoolean() ? OLD : NEW;
                switch (simulation.random.nextInt(4)) {
                    case 0 ->
                            simulation.supervisor.setDesired(
                                    variant, variant.equals(OLD) ? null : OLD);
                    case 1 ->
                            simulation.fates.put(
                                    variant, Fate.values()[simulation.random.nextInt(4)]);
                    case 2 ->
                            simulation.alive.replaceAll( // the system kills all
                                    (number, process) ->
                                            new Simulation.Process(
                                                    process.variant(),
                                                    process.startedAt(),
                                                    simulation.now));
                    default -> simulation.fates.clear();
                }
                simulation.run(simulation.random.nextInt(90));
            }
            simulation.fates.clear();
            simulation.run(200);
            assertEquals(simulation.supervisor.desired(), simulation.serves, "seed " + seed);
            assertEquals(1, simulation.alive.size(), "seed " + seed);
            assertFalse(simulation.starts > 200, "seed " + seed);
        }
    }
}
