package loadbalancer.rollout.stage;

import static loadbalancer.rollout.stage.RolloutSimulation.WINDOW_SECONDS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.rollout.analysis.WindowCounters;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.RolloutOrder;
import loadbalancer.rollout.stage.RolloutStatement.DigestCheck;
import loadbalancer.rollout.stage.RolloutStatement.Phase;

/** A machine of a {@link RolloutSimulation} with its balancer, supervisor and files. */
final class SimulatedMachine {
    private final RolloutSimulation fleet;
    final String name;
    final Map<String, Integer> passedStages = new TreeMap<>();
    final List<String> logLines = new ArrayList<>();
    RolloutController controller;
    String runningKey = "";
    String changingToKey = "";
    String digest = RolloutSimulation.DIGEST;
    boolean isByzantine;
    boolean isStopped;
    boolean publishesNothing;
    boolean crashesOnStart;
    boolean isRollingBack;
    private long changeEndsAtSecond;
    private long servedAtSecond;
    private long cohortBits;

    SimulatedMachine(RolloutSimulation fleet, String name) {
        this.fleet = fleet;
        this.name = name;
        controller = newController();
    }

    private RolloutController newController() {
        return new RolloutController(node(), fleet.random, runningKey, 0, logLines::add);
    }

    private SimulatedNetwork.Node node() {
        return fleet.network.nodes.get(name);
    }

    /** Emulates SIGSTOP or SIGCONT. */
    void setStopped(boolean stops) {
        isStopped = stops;
        node().isUp = !stops;
    }

    void kill() {
        isStopped = false;
        node().isUp = false;
        changingToKey = "";
        isRollingBack = false;
    }

    void restart(boolean losesItems) {
        node().isUp = true;
        node().restart(losesItems);
        controller = newController();
    }

    boolean isUp() {
        return node().isUp;
    }

    void step() {
        if (!isUp()) {
            return;
        }
        servedAtSecond = fleet.second;
        if (!changingToKey.isEmpty() && fleet.second >= changeEndsAtSecond) {
            endChange();
        }
        controller.setServing(true);
        for (RolloutAction action :
                controller.step(fleet.nowMicros(), fleet.second / WINDOW_SECONDS)) {
            execute(action);
        }
        if (isByzantine) {
            publishForgedStatements();
        }
        recordPassedStages();
        cohortBits |= cohortBitsNow();
    }

    private void execute(RolloutAction action) {
        if (action instanceof RolloutAction.VerifyDigest verify) {
            controller.onDigestComputed(verify.plan().key(), digest);
        } else if (action instanceof RolloutAction.StartChange start) {
            startChange(start.plan());
        } else if (action instanceof RolloutAction.RollBack rollBack) {
            changingToKey = rollBack.planKey();
            isRollingBack = true;
            changeEndsAtSecond = fleet.second + fleet.random.nextInt(5);
        }
    }

    private long cohortBitsNow() {
        if (!changingToKey.isEmpty()) {
            return WindowCounters.BASELINE | WindowCounters.CANARY;
        }
        return runningKey.isEmpty() ? WindowCounters.BASELINE : WindowCounters.CANARY;
    }

    private void endChange() {
        if (crashesOnStart && !isRollingBack) {
            controller.onChangeFailed(fleet.nowMicros(), changingToKey, "crashes at its start");
        } else {
            runningKey = isRollingBack ? "" : changingToKey;
            controller.onRunning(runningKey);
        }
        changingToKey = "";
        isRollingBack = false;
    }

    private void startChange(Plan plan) {
        assertFalse(
                HaltFlags.isRaised(node(), plan.key()),
                name + " starts a halted plan" + fleet.at());
        assertEquals(
                RolloutSimulation.DIGEST,
                digest,
                name + " starts although the digest differs" + fleet.at());
        RolloutOrder order = RolloutOrder.of(plan);
        int stage = 1;
        while (order.targetCount(stage) <= order.position(name)) {
            stage++;
        }
        assertTrue(
                fleet.passed(plan, stage) >= fleet.majority(),
                "stage " + stage + " opened without a majority" + fleet.at());
        long connected =
                fleet.machines.keySet().stream()
                        .filter(other -> fleet.network.areConnected(other, name))
                        .count();
        assertTrue(
                connected >= fleet.majority() || fleet.second - fleet.partitionedAtSecond <= 5,
                "starts in the minority partition" + fleet.at());
        long serving = fleet.machines.values().stream().filter(this::isOtherServing).count();
        assertTrue(serving >= fleet.minServing(plan), "too few balancers serve" + fleet.at());
        changingToKey = plan.key();
        changeEndsAtSecond = fleet.second + 1 + fleet.random.nextInt(8);
    }

    private boolean isOtherServing(SimulatedMachine other) {
        return other != this
                && other.changingToKey.isEmpty()
                && fleet.second - other.servedAtSecond <= 15;
    }

    private Map<String, Document> statements(Plan plan) {
        return node().documents(fleet.nowMicros(), RolloutTopics.statements(plan.key()));
    }

    private Optional<RolloutStatement> statement(Plan plan, String member) {
        return Optional.ofNullable(statements(plan).get(member))
                .map(document -> RolloutStatement.decode(document.body()).orElseThrow());
    }

    private void recordPassedStages() {
        for (Plan plan : fleet.plans.values()) {
            statement(plan, name)
                    .ifPresent(
                            own -> passedStages.merge(plan.key(), own.passedStages(), Math::max));
        }
    }

    /** Publishes forged statements that all stages have passed and all requests are granted. */
    private void publishForgedStatements() {
        for (Plan plan : fleet.plans.values()) {
            Map<String, Long> grants = new TreeMap<>();
            for (String member : fleet.machines.keySet()) {
                statement(plan, member)
                        .ifPresent(statement -> grants.put(member, statement.requestId()));
            }
            byte[] forged =
                    new RolloutStatement(99, Phase.CANARY, true, DigestCheck.MATCHES, 0, grants)
                            .encode();
            Document own = statements(plan).get(name);
            if (own == null || !Arrays.equals(own.body(), forged)) {
                node().publish(fleet.nowMicros(), RolloutTopics.statements(plan.key()), forged);
            }
        }
    }

    /** Publishes the counters of the window that has ended. */
    void publishCounters() {
        Optional<Measurement> measurement = controller.measurement();
        long cohort = cohortBits;
        cohortBits = 0;
        if (measurement.isEmpty() || !isUp() || publishesNothing) {
            return;
        }
        long window = fleet.second / WINDOW_SECONDS - 1;
        String key = measurement.get().plan().key();
        String classTopic = WindowCounters.classTopic(key, Plan.OTHER_CLASSES);
        String processTopic = WindowCounters.processTopic(key);
        long requests = 250 + fleet.random.nextInt(50);
        node().publishCounters(
                        fleet.nowMicros(), classTopic, window, classCounters(cohort, requests));
        node().publishCounters(
                        fleet.nowMicros(), processTopic, window, processCounters(cohort, requests));
        node().removeWindow(classTopic, window - 12);
        node().removeWindow(processTopic, window - 12);
    }

    private long[] classCounters(long cohort, long requests) {
        boolean isCanary = cohort == WindowCounters.CANARY;
        double servedRatio = isCanary ? fleet.newServedRatio : 0.97;
        double servedNoise = fleet.random.nextGaussian() * Math.sqrt(requests * 0.03);
        long served = Math.min(requests, Math.round(requests * servedRatio + servedNoise));
        double attemptsPerRequest = isCanary ? fleet.newAttemptsPerRequest : 1.1;
        long attempts = Math.round(requests * attemptsPerRequest + 5 * fleet.random.nextGaussian());
        long[] values = new long[WindowCounters.CLASS_VALUES];
        values[WindowCounters.COHORT] = cohort;
        values[WindowCounters.SERVED_ON_TIME] = isByzantine ? fleet.random.nextLong() : served;
        values[WindowCounters.FAILED] = requests - served;
        values[WindowCounters.ATTEMPTS] = isByzantine ? 1L << 49 : attempts;
        for (int i = 0; i < 8; i++) {
            values[WindowCounters.bucketIndex(i)] = requests / 8 + fleet.random.nextInt(9);
        }
        return values;
    }

    private long[] processCounters(long cohort, long requests) {
        return WindowCounters.ofProcess(
                cohort,
                requests,
                requests * 500 + fleet.random.nextInt(9_000),
                200_000 + fleet.random.nextInt(9_000));
    }
}
