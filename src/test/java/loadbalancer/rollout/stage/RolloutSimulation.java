package loadbalancer.rollout.stage;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import loadbalancer.rollout.analysis.CanaryAnalysis;
import loadbalancer.rollout.plan.InvalidPlanException;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.PlanFile;

/**
 * Simulates a fleet with its machines in steps of one second of virtual time. After each step it
 * checks that no more balancers have changed than the open stage allows, and that no more balancers
 * change at the same time than may be unavailable.
 */
final class RolloutSimulation {
    static final String DIGEST = "ab".repeat(32);
    static final long SECOND_MICROS = 1_000_000;
    static final long WINDOW_SECONDS = CanaryAnalysis.WINDOW_MICROS / SECOND_MICROS;

    final Random random;
    final SimulatedNetwork network;
    final Map<String, SimulatedMachine> machines = new TreeMap<>();
    final Map<String, Plan> plans = new TreeMap<>();
    double newServedRatio = 0.97;
    double newAttemptsPerRequest = 1.1;
    long second;
    long partitionedAtSecond = Long.MIN_VALUE / 2;

    RolloutSimulation(long seed, int members) {
        random = new Random(seed);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            names.add("b" + i);
        }
        network = new SimulatedNetwork(names, random);
        names.forEach(name -> machines.put(name, new SimulatedMachine(this, name)));
    }

    private static String planText(String id, int number) {
        return """
        id = "%s"
        number = %d
        program = "p"
        digest = "sha256:%s"
        stages = [0.2, 0.5, 1.0]
        floor = 0.6
        at_once = 2
        [exposure]
        before = 120
        requests = 1000
        seconds = 30
        longest = 400
        [margins]
        served = 0.02
        late = 0.02
        refused = 0.02
        failed = 0.02
        attempts = 0.2
        time = 0.2
        """
                .formatted(id, number, DIGEST);
    }

    Plan submit(String member, String id, int number) throws InvalidPlanException {
        Map<String, String> zones = new TreeMap<>();
        machines.keySet().forEach(name -> zones.put(name, "z" + (name.charAt(1) & 1)));
        machines.get(member).controller.submit(nowMicros(), planText(id, number), zones);
        Plan plan = PlanFile.parse(PlanFile.withZones(planText(id, number), zones));
        plans.put(plan.key(), plan);
        return plan;
    }

    long nowMicros() {
        return second * SECOND_MICROS;
    }

    /** Separates the given number of members from the others, by name order. */
    void partition(int members) {
        partitionedAtSecond = second;
        int index = 0;
        for (String name : machines.keySet()) {
            network.partitions.put(name, index++ < members ? 1 : 0);
        }
    }

    /** Ends partitions and message loss, and resumes or restarts all machines. */
    void heal() {
        network.partitions.clear();
        network.lossRatio = 0;
        for (SimulatedMachine machine : machines.values()) {
            if (machine.isStopped) {
                machine.setStopped(false);
            } else if (!machine.isUp()) {
                machine.restart(false);
            }
        }
    }

    void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            second++;
            network.step(nowMicros());
            machines.values().forEach(SimulatedMachine::step);
            if (second % WINDOW_SECONDS == 0) {
                machines.values().forEach(SimulatedMachine::publishCounters);
            }
            plans.values().forEach(this::check);
        }
    }

    private void check(Plan plan) {
        long changed =
                machines.values().stream()
                        .filter(
                                machine ->
                                        plan.key().equals(machine.runningKey)
                                                || plan.key().equals(machine.changingToKey))
                        .count();
        int stage = 0;
        while (stage < plan.stageCount() && passed(plan, stage + 1) >= majority()) {
            stage++;
        }
        int allowed =
                stage == 0
                        ? 0
                        : (int)
                                Math.floor(
                                        plan.stageFractions().get(stage - 1) * machines.size()
                                                + 1e-9);
        assertTrue(changed <= allowed, changed + " run the new program, allowed " + allowed + at());
        long changing =
                machines.values().stream()
                        .filter(
                                machine ->
                                        !machine.isRollingBack
                                                && plan.key().equals(machine.changingToKey))
                        .count();
        assertTrue(
                changing <= machines.size() - minServing(plan),
                "too many concurrent changes" + at());
    }

    double minServing(Plan plan) {
        return Math.ceil(plan.minServingFraction() * machines.size());
    }

    /** Returns how many members have ever stated that the given number of stages passed. */
    long passed(Plan plan, int stages) {
        return machines.values().stream()
                .filter(machine -> machine.passedStages.getOrDefault(plan.key(), 0) >= stages)
                .count();
    }

    int majority() {
        return machines.size() / 2 + 1;
    }

    boolean isHalted(Plan plan) {
        return network.nodes.values().stream()
                .anyMatch(node -> HaltFlags.isRaised(node, plan.key()));
    }

    boolean allRun(String planKey) {
        return machines.values().stream()
                .allMatch(
                        machine ->
                                machine.runningKey.equals(planKey)
                                        && machine.changingToKey.isEmpty());
    }

    /** Returns the machines that run the change of a plan. */
    List<SimulatedMachine> changed() {
        return machines.values().stream().filter(machine -> !machine.runningKey.isEmpty()).toList();
    }

    /** Returns whether a plan is complete on all machines, or no plan is in progress or running. */
    boolean isSettled() {
        String running = machines.get("b4").runningKey;
        return machines.values().stream()
                        .allMatch(
                                machine ->
                                        machine.isByzantine || machine.runningKey.equals(running))
                && machines.values().stream()
                        .map(machine -> machine.controller.status())
                        .allMatch(
                                status ->
                                        status.equals("no plan")
                                                || !running.isEmpty() && status.endsWith(": done"));
    }

    String status() {
        StringBuilder out = new StringBuilder();
        for (SimulatedMachine machine : machines.values()) {
            out.append('\n')
                    .append(machine.name)
                    .append(" runs ")
                    .append(machine.runningKey)
                    .append(", ")
                    .append(machine.controller.status())
                    .append(", ")
                    .append(machine.logLines);
        }
        return out.toString();
    }

    String at() {
        return " at second " + second;
    }
}
