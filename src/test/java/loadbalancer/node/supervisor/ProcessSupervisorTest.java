package loadbalancer.node.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Sequences of starts, exits and changes, against a small model of processes. */
class ProcessSupervisorTest {
    private static final Variant OLD = new Variant("old", "");
    private static final Variant NEW = new Variant("new", "");
    private static final long SECOND = 1_000_000;

    /** What the processes of one variant do. */
    private enum Behavior {
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
        final Map<Variant, Behavior> behaviors = new HashMap<>();
        final Map<Integer, Process> alive = new HashMap<>();
        final ProcessSupervisor supervisor;
        Variant servingVariant;
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
                Behavior behavior = behaviors.getOrDefault(process.variant, Behavior.GOOD);
                long age = now - process.startedAt;
                boolean dies =
                        now >= process.endsAt
                                || behavior == Behavior.CRASHES && age > SECOND
                                || behavior == Behavior.CRASHES_LATER && age > 20 * SECOND;
                if (dies) {
                    alive.remove(number);
                    supervisor.onExited(now, number);
                } else if (age > 3 * SECOND && behavior != Behavior.NEVER_READY) {
                    supervisor.onReady(now, number);
                }
            }
            supervisor.tick(now).forEach(this::execute);
            assertTrue(alive.size() <= 2, "at most two processes run at the same time");
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
                servingVariant = serving.variant();
            } else {
                failed++;
            }
        }
    }

    private static Simulation startAndServe(long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(10);
        assertEquals(OLD, simulation.servingVariant);
        return simulation;
    }

    @Test
    void predecessorServesUntilSuccessorIsReady() {
        Simulation simulation = startAndServe(1);
        simulation.supervisor.setDesired(NEW, OLD);
        simulation.run(2);
        assertEquals(OLD, simulation.servingVariant);
        assertEquals(2, simulation.alive.size());
        simulation.run(30);
        assertEquals(NEW, simulation.servingVariant);
        assertEquals(1, simulation.alive.size());
    }

    @Test
    void revertsToFallbackAfterThreeFailedStarts() {
        for (Behavior behavior : new Behavior[] {Behavior.CRASHES, Behavior.NEVER_READY}) {
            Simulation simulation = startAndServe(2);
            simulation.behaviors.put(NEW, behavior);
            simulation.supervisor.setDesired(NEW, OLD);
            for (int i = 0; i < 300; i++) {
                simulation.run(1);
                assertTrue(
                        simulation.alive.values().stream()
                                .anyMatch(process -> process.variant().equals(OLD)));
            }
            assertEquals(1, simulation.failed);
            assertEquals(
                    4, simulation.starts, "one start of the old variant, three of the new one");
            assertEquals(OLD, simulation.supervisor.desired());
        }
    }

    @Test
    void revertsToFallbackAfterCrashesSoonAfterServing() {
        Simulation simulation = startAndServe(3);
        simulation.behaviors.put(NEW, Behavior.CRASHES_LATER);
        simulation.supervisor.setDesired(NEW, OLD);
        simulation.run(300);
        assertEquals(1, simulation.failed);
        assertEquals(OLD, simulation.servingVariant);
    }

    @Test
    void retriesStartsWithBackoffWithoutFallback() {
        Simulation simulation = new Simulation(4);
        simulation.behaviors.put(OLD, Behavior.CRASHES);
        simulation.run(3_600);
        assertTrue(
                simulation.starts > 100 && simulation.starts < 260,
                "starts in an hour: " + simulation.starts);
        simulation.behaviors.clear();
        simulation.run(60);
        assertEquals(OLD, simulation.servingVariant);
        assertEquals(0, simulation.failed);
    }

    @Test
    void adoptsProcessesAndEndsUnfinishedHandOver() {
        Simulation simulation = new Simulation(5);
        simulation.alive.put(
                simulation.supervisor.adopt(0, OLD),
                new Simulation.Process(OLD, -60 * SECOND, Long.MAX_VALUE));
        simulation.alive.put(
                simulation.supervisor.adopt(0, NEW),
                new Simulation.Process(NEW, 0, Long.MAX_VALUE));
        simulation.run(60);
        assertEquals(0, simulation.starts);
        assertEquals(OLD, simulation.servingVariant);
        assertEquals(1, simulation.alive.size());
    }

    @Test
    void desiredVariantServesAfterRandomEvents() {
        for (int seed = 0; seed < 300; seed++) {
            Simulation simulation = new Simulation(seed);
            for (int i = 0; i < 15; i++) {
                Variant variant = simulation.random.nextBoolean() ? OLD : NEW;
                switch (simulation.random.nextInt(4)) {
                    case 0 ->
                            simulation.supervisor.setDesired(
                                    variant, variant.equals(OLD) ? null : OLD);
                    case 1 ->
                            simulation.behaviors.put(
                                    variant, Behavior.values()[simulation.random.nextInt(4)]);
                    case 2 ->
                            simulation.alive.replaceAll( // kills all processes
                                    (number, process) ->
                                            new Simulation.Process(
                                                    process.variant(),
                                                    process.startedAt(),
                                                    simulation.now));
                    default -> simulation.behaviors.clear();
                }
                simulation.run(simulation.random.nextInt(90));
            }
            simulation.behaviors.clear();
            simulation.run(200);
            assertEquals(
                    simulation.supervisor.desired(), simulation.servingVariant, "seed " + seed);
            assertEquals(1, simulation.alive.size(), "seed " + seed);
            assertFalse(simulation.starts > 200, "seed " + seed);
        }
    }
}
