package loadbalancer.rollout.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.rollout.plan.InvalidPlanException;
import loadbalancer.rollout.plan.Plan;
import org.junit.jupiter.api.Test;

/**
 * Simulates rollouts in fleets of 5 to 12 members with faults. {@link RolloutSimulation} checks the
 * invariants each second.
 */
class RolloutControllerTest {
    private static RolloutSimulation started(long seed, int members) {
        RolloutSimulation fleet = new RolloutSimulation(seed, members);
        fleet.run(15);
        return fleet;
    }

    @Test
    void changeWithoutRegressionReachesAllMembers() throws Exception {
        RolloutSimulation fleet = started(1, 10);
        Plan plan = fleet.submit("b3", "good", 1);
        fleet.run(1_000);
        RolloutController controller = fleet.machines.get("b0").controller;
        assertTrue(fleet.allRun(plan.key()), controller.status());
        assertEquals(1, controller.lastCompletedNumber());
    }

    @Test
    void haltsFivePercentRegressionInFirstStageAndRollsBack() throws Exception {
        RolloutSimulation fleet = started(2, 10);
        fleet.newServedRatio = 0.92;
        Plan plan = fleet.submit("b3", "bad", 1);
        int maxChanged = 0;
        for (int i = 0; i < 800; i++) {
            fleet.run(1);
            maxChanged = Math.max(maxChanged, fleet.changed().size());
        }
        assertEquals(2, maxChanged);
        assertTrue(fleet.isHalted(plan));
        assertTrue(fleet.allRun(""));
    }

    @Test
    void haltsWhenNewProgramCrashesOnStart() throws Exception {
        RolloutSimulation fleet = started(3, 6);
        fleet.machines.values().forEach(machine -> machine.crashesOnStart = true);
        Plan plan = fleet.submit("b3", "broken", 1);
        fleet.run(400);
        assertTrue(fleet.isHalted(plan));
        assertTrue(fleet.allRun(""));
    }

    @Test
    void waitsForMissingCanaryMetricsThenHalts() throws Exception {
        RolloutSimulation fleet = started(4, 10);
        Plan plan = fleet.submit("b3", "silent", 1);
        for (int i = 0; i < 500; i++) {
            fleet.run(1);
            fleet.machines
                    .values()
                    .forEach(machine -> machine.publishesNothing = !machine.runningKey.isEmpty());
        }
        assertFalse(fleet.isHalted(plan));
        assertEquals(2, fleet.changed().size());
        fleet.run(300);
        assertTrue(fleet.isHalted(plan));
        assertTrue(fleet.allRun(""));
    }

    @Test
    void digestMismatchOnOneMachineBlocksAllMachines() throws Exception {
        RolloutSimulation fleet = started(5, 6);
        fleet.machines.get("b5").digest = "";
        Plan plan = fleet.submit("b3", "other", 1);
        fleet.run(390);
        assertEquals(
                0,
                fleet.machines.values().stream()
                        .mapToInt(machine -> machine.controller.openStage())
                        .max()
                        .orElse(9));
        fleet.run(60);
        assertTrue(fleet.isHalted(plan), "halted after the time limit of the stage");
    }

    @Test
    void partitionedOrStoppedMemberRollsBackAfterReceivingTheHalt() throws Exception {
        RolloutSimulation fleet = started(6, 10);
        Plan plan = fleet.submit("b3", "late", 1);
        for (int i = 0; i < 900 && fleet.changed().size() < 4; i++) {
            fleet.run(1);
        }
        List<SimulatedMachine> changed = fleet.changed();
        changed.get(0).kill();
        changed.get(1).setStopped(true);
        fleet.network.partitions.put(changed.get(2).name, 1);
        HaltFlags.raise(
                fleet.network.nodes.get(changed.get(3).name), 0, plan.key(), "an operator's");
        fleet.run(60);
        assertEquals("", changed.get(3).runningKey);
        assertEquals(3, fleet.changed().size());
        fleet.heal();
        fleet.run(60);
        assertTrue(fleet.allRun(""));
    }

    @Test
    void longPartitionedMemberRollsBackWithoutHaltingThePlan() throws Exception {
        RolloutSimulation fleet = started(7, 10);
        Plan plan = fleet.submit("b3", "away", 1);
        for (int i = 0; i < 300 && fleet.changed().isEmpty(); i++) {
            fleet.run(1);
        }
        SimulatedMachine changed = fleet.changed().get(0);
        fleet.network.partitions.put(changed.name, 1);
        fleet.run(450);
        assertEquals("", changed.runningKey);
        assertFalse(HaltFlags.isRaised(fleet.network.nodes.get(changed.name), plan.key()));
    }

    @Test
    void lowerOfTwoPlansProceedsAndTheOtherIsHalted() throws Exception {
        RolloutSimulation fleet = started(8, 8);
        Plan higher = fleet.submit("b1", "two", 2);
        Plan lower = fleet.submit("b6", "one", 1);
        fleet.run(40);
        InvalidPlanException rejection =
                assertThrows(InvalidPlanException.class, () -> fleet.submit("b4", "three", 3));
        assertTrue(rejection.getMessage().contains("plan one, number 1 is in progress"));
        assertTrue(fleet.isHalted(higher));
        fleet.run(1_000);
        assertTrue(fleet.allRun(lower.key()));
        assertTrue(
                fleet.machines.get("b4").logLines.stream()
                        .anyMatch(line -> line.startsWith("plan two, number 2 is")));
    }

    @Test
    void invariantsHoldUnderRandomFaults() throws Exception {
        Set<String> outcomes = new TreeSet<>();
        int withOpenStage = 0;
        for (int seed = 1; seed <= 24; seed++) {
            RolloutSimulation fleet = randomHistory(seed);
            fleet.heal();
            for (int i = 0; i < 40 && !fleet.isSettled(); i++) {
                fleet.run(60);
            }
            assertTrue(fleet.isSettled(), "seed " + seed + ": " + fleet.status());
            outcomes.add(fleet.machines.get("b4").runningKey.isEmpty() ? "old" : "new");
            boolean opensStage =
                    fleet.plans.values().stream().anyMatch(plan -> fleet.passed(plan, 1) > 0);
            withOpenStage += opensStage ? 1 : 0;
        }
        assertEquals(Set.of("old", "new"), outcomes);
        assertTrue(withOpenStage > 12, "too few runs that open a stage: " + withOpenStage);
    }

    private static RolloutSimulation randomHistory(long seed) throws InvalidPlanException {
        RolloutSimulation fleet = started(seed, 5 + (int) (seed % 8));
        List<SimulatedMachine> machines = new ArrayList<>(fleet.machines.values());
        fleet.submit("b1", "drawn", 2);
        if (fleet.random.nextInt(4) == 0) {
            fleet.submit("b2", "twin", 1);
        }
        if (fleet.random.nextInt(3) == 0) {
            machines.get(0).isByzantine = true;
        }
        if (fleet.random.nextInt(3) == 0) {
            fleet.newServedRatio = 0.90;
        }
        if (fleet.random.nextInt(6) == 0) {
            machines.get(fleet.random.nextInt(machines.size())).crashesOnStart = true;
        }
        fleet.run(fleet.random.nextInt(300));
        for (int i = 0; i < 12; i++) {
            injectFault(fleet, machines);
            fleet.run(fleet.random.nextInt(60));
        }
        return fleet;
    }

    private static void injectFault(RolloutSimulation fleet, List<SimulatedMachine> machines) {
        SimulatedMachine machine = machines.get(fleet.random.nextInt(machines.size()));
        switch (fleet.random.nextInt(8)) {
            case 0 -> fleet.partition(1 + fleet.random.nextInt(machines.size() - 1));
            case 1 -> fleet.heal();
            case 2, 3 -> machine.kill();
            case 4 -> machine.setStopped(machine.isUp());
            case 5 -> fleet.network.lossRatio = 0.3;
            case 6 -> {
                if (!machine.isUp() && !machine.isStopped) {
                    machine.restart(fleet.random.nextBoolean());
                }
            }
            default -> fleet.network.partitions.clear();
        }
    }
}
