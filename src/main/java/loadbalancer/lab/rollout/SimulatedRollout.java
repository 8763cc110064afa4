package loadbalancer.lab.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.lab.sim.Streams;
import loadbalancer.rollout.analysis.CanaryAnalysis;
import loadbalancer.rollout.analysis.Verdict;
import loadbalancer.rollout.analysis.WindowCounters;
import loadbalancer.rollout.plan.InvalidPlanException;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.PlanFile;
import loadbalancer.rollout.plan.RolloutOrder;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One rollout in one simulated fleet, from its plan to its end, with one member's canary analysis.
 * Time is counted in windows. Not thread-safe.
 */
final class SimulatedRollout {
    private static final int ZONES = 3;

    /** Ratio of counters that never arrive. */
    private static final double MISSING_RATIO = 0.01;

    /** Windows that a stage's members take to change. */
    private static final int CHANGE_WINDOWS = 4;

    private static final double WINDOW_SECONDS = 5.0;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private static final String PLAN_TEXT =
            "id = \"trial\"\nnumber = 1\nprogram = \"new\"\ndigest = \"sha256:"
                    + "0".repeat(64)
                    + "\"\nstages = [0.1, 0.3, 0.6, 1.0]\nfloor = 0.7\n"
                    + "[exposure]\nbefore = 300\nrequests = 5000\nseconds = 120\nlongest = 3600\n"
                    + "[margins]\nserved = 0.015\n[class.book]\n";

    /**
     * How a rollout ended.
     *
     * @param isHalted whether it was halted or timed out
     * @param stage in which it ended
     * @param reason of the halt, empty if it completed
     * @param seconds from the first balancer's change to the end
     * @param requests that the new program had by then
     * @param lost of them by the new program
     * @param lostAllAtOnce what would have been lost in that time had all changed at its beginning
     */
    record Outcome(
            boolean isHalted,
            int stage,
            String reason,
            double seconds,
            double requests,
            double lost,
            double lostAllAtOnce) {}

    private final Effect effect;
    private final Plan plan;
    private final RolloutOrder order;
    private final ReplicatedCounters counters;
    private final CanaryAnalysis analysis;
    private final Map<String, SimulatedBalancer> balancers = new TreeMap<>();
    private final AutoregressiveProcess[] zoneNoise = new AutoregressiveProcess[ZONES];
    private final ZoneIncidents[] incidents = new ZoneIncidents[ZONES];
    private final AutoregressiveProcess fleetNoise;
    private final UniformRandomProvider loss;
    private double requests;
    private double requestsLost;
    private double requestsLostAllAtOnce;

    private SimulatedRollout(int members, Effect effect, long seed) throws InvalidPlanException {
        this.effect = effect;
        Streams streams = new Streams(seed);
        Map<String, String> zoneByMember = new TreeMap<>();
        for (int i = 0; i < members; i++) {
            zoneByMember.put("b" + i, "z" + i % ZONES);
        }
        plan = PlanFile.parse(PlanFile.withZones(PLAN_TEXT, zoneByMember));
        order = RolloutOrder.of(plan);
        counters = new ReplicatedCounters(zoneByMember.keySet());
        analysis = new CanaryAnalysis(plan, order, counters);
        for (String member : zoneByMember.keySet()) {
            balancers.put(member, new SimulatedBalancer(streams.of(member)));
        }
        for (int i = 0; i < ZONES; i++) {
            zoneNoise[i] = new AutoregressiveProcess(streams.of("zone " + i), 0.3, 12);
            incidents[i] = new ZoneIncidents(streams.of("incidents " + i));
        }
        fleetNoise = new AutoregressiveProcess(streams.of("all"), 0.2, 24);
        loss = streams.of("loss");
    }

    static Outcome run(int members, Effect effect, long seed) {
        try {
            return new SimulatedRollout(members, effect, seed).run();
        } catch (InvalidPlanException e) {
            throw new IllegalStateException("the plan above is valid", e);
        }
    }

    private Outcome run() {
        int stage = 0;
        long openedWindow = 0;
        long firstChangeWindow = -1;
        for (long window = 0; ; window++) {
            long stageWindows = window - openedWindow;
            addWindow(window, changedMembers(stage, stageWindows), firstChangeWindow >= 0);
            Verdict verdict = analysis.analyze(window + 1);
            boolean isTimedOut = isTimedOut(stageWindows);
            if (verdict.kind() == Verdict.Kind.FAIL || isTimedOut) {
                String reason = verdict.reason() + (isTimedOut ? " (out of time)" : "");
                double seconds = secondsSince(firstChangeWindow, window);
                return outcome(true, stage, reason, seconds);
            }
            if (verdict.kind() == Verdict.Kind.PASS) {
                openedWindow = window;
                firstChangeWindow = firstChangeWindow < 0 ? window + 1 : firstChangeWindow;
                stage++;
                if (stage > plan.stageCount()) {
                    double seconds = secondsSince(firstChangeWindow, window);
                    return outcome(false, plan.stageCount(), "", seconds);
                }
                analysis.startStage(stage);
            }
        }
    }

    private boolean isTimedOut(long stageWindows) {
        return stageWindows * CanaryAnalysis.WINDOW_MICROS
                > plan.exposure().maxSeconds() * MICROS_PER_SECOND;
    }

    /** 0 if nothing has changed yet. */
    private static double secondsSince(long firstChangeWindow, long window) {
        return firstChangeWindow < 0 ? 0 : (window + 1 - firstChangeWindow) * WINDOW_SECONDS;
    }

    private Outcome outcome(boolean isHalted, int stage, String reason, double seconds) {
        return new Outcome(
                isHalted, stage, reason, seconds, requests, requestsLost, requestsLostAllAtOnce);
    }

    private int changedMembers(int stage, long stageWindows) {
        if (stage == 0) {
            return 0;
        }
        int target = order.targetCount(stage);
        int previous = order.targetCount(stage - 1);
        return (int)
                Math.min(target, previous + (target - previous) * stageWindows / CHANGE_WINDOWS);
    }

    private void addWindow(long window, int changed, boolean hasBegun) {
        double common = fleetNoise.next();
        double[] noise = new double[ZONES];
        double[] incident = new double[ZONES];
        for (int i = 0; i < ZONES; i++) {
            noise[i] = common + zoneNoise[i].next();
            incident[i] = incidents[i].next();
        }
        double sharedFailedRatio = effect.sharedFailedRatio() * changed / balancers.size();
        balancers.forEach(
                (member, balancer) -> {
                    int zone = plan.zoneByMember().get(member).charAt(1) - '0';
                    boolean isCanary = order.position(member) < changed;
                    long[][] published =
                            balancer.nextWindow(
                                    isCanary,
                                    effect,
                                    noise[zone],
                                    incident[zone],
                                    sharedFailedRatio);
                    publish(member, window, published);
                    requests += isCanary ? balancer.requests() : 0;
                    requestsLost += balancer.requestsLost();
                    requestsLostAllAtOnce +=
                            hasBegun
                                    ? balancer.requests()
                                            * (effect.failedRatio() + effect.sharedFailedRatio())
                                    : 0;
                });
    }

    private void publish(String member, long window, long[][] published) {
        List<String> topics = new ArrayList<>();
        for (String name : plan.classMargins().keySet()) {
            topics.add(WindowCounters.classTopic(plan.key(), name));
        }
        topics.add(WindowCounters.classTopic(plan.key(), Plan.OTHER_CLASSES));
        topics.add(WindowCounters.processTopic(plan.key()));
        for (int i = 0; i < published.length; i++) {
            if (loss.nextDouble() >= MISSING_RATIO) {
                counters.add(topics.get(i), member, window, published[i]);
            }
        }
    }
}
