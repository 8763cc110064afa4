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

/** One change of one fleet from its plan to its end. */
final class Trial {
    private static final int ZONES = 3;

    /** Of the tallies, so many never arrive. */
    private static final double MISSING = 0.01;

    /** Windows that a stage's members take to change. */
    private static final int CHANGE = 4;

    private static final String TEXT =
            "id = \"trial\"\nnumber = 1\nprogram = \"new\"\ndigest = \"sha256:"
                    + "0".repeat(64)
                    + "\"\nstages = [0.1, 0.3, 0.6, 1.0]\nfloor = 0.7\n"
                    + "[exposure]\nbefore = 300\nrequests = 5000\nseconds = 120\nlongest = 3600\n"
                    + "[margins]\nserved = 0.015\n[class.book]\n";

    /**
     * How it ended.
     *
     * @param stopped whether it was stopped
     * @param stage in which it ended
     * @param reason of the stop
     * @param seconds from the first balancer's change to the end
     * @param requests that the new program had by then
     * @param lost of them to the new program
     * @param allAtOnce what would have been lost in that time had all changed in its beginning
     */
    record Outcome(
            boolean stopped,
            int stage,
            String reason,
            double seconds,
            double requests,
            double lost,
            double allAtOnce) {}

    private final Effect effect;
    private final Plan plan;
    private final RolloutOrder order;
    private final Board board;
    private final CanaryAnalysis analysis;
    private final Map<String, Site> sites = new TreeMap<>();
    private final Wave[] zones = new Wave[ZONES];
    private final Incidents[] incidents = new Incidents[ZONES];
    private final Wave all;
    private final UniformRandomProvider loss;
    private double requests;
    private double lost;
    private double allAtOnce;

    private Trial(int members, Effect effect, long seed) throws InvalidPlanException {
        this.effect = effect;
        Streams streams = new Streams(seed);
        Map<String, String> names = new TreeMap<>();
        for (int i = 0; i < members; i++) {
            names.put("b" + i, "z" + i % ZONES);
        }
        plan = PlanFile.parse(PlanFile.withZones(TEXT, names));
        order = RolloutOrder.of(plan);
        board = new Board(names.keySet());
        analysis = new CanaryAnalysis(plan, order, board);
        names.keySet().forEach(n -> sites.put(n, new Site(streams.of(n))));
        for (int z = 0; z < ZONES; z++) {
            zones[z] = new Wave(streams.of("zone " + z), 0.3, 12);
            incidents[z] = new Incidents(streams.of("incidents " + z));
        }
        all = new Wave(streams.of("all"), 0.2, 24);
        loss = streams.of("loss");
    }

    static Outcome run(int members, Effect effect, long seed) {
        try {
            return new Trial(members, effect, seed).play();
        } catch (InvalidPlanException e) {
            throw new IllegalStateException(e);
        }
    }

    private Outcome play() {
        int stage = 0;
        long opened = 0;
        long first = -1;
        for (long w = 0; ; w++) {
            int target = order.targetCount(stage);
            int changed =
                    stage == 0
                            ? 0
                            : (int)
                                    Math.min(
                                            target,
                                            order.targetCount(stage - 1)
                                                    + (target - order.targetCount(stage - 1))
                                                            * (w - opened)
                                                            / CHANGE);
            window(w, changed, first >= 0);
            Verdict verdict = analysis.analyze(w + 1);
            boolean late =
                    (w - opened) * CanaryAnalysis.WINDOW_MICROS
                            > plan.exposure().maxSeconds() * 1_000_000;
            if (verdict.kind() == Verdict.Kind.FAIL || late) {
                return new Outcome(
                        true,
                        stage,
                        verdict.reason() + (late ? " (out of time)" : ""),
                        first < 0 ? 0 : (w + 1 - first) * 5.0,
                        requests,
                        lost,
                        allAtOnce);
            }
            if (verdict.kind() == Verdict.Kind.PASS) {
                opened = w;
                first = first < 0 ? w + 1 : first;
                if (++stage > plan.stageCount()) {
                    return new Outcome(
                            false,
                            plan.stageCount(),
                            "",
                            (w + 1 - first) * 5.0,
                            requests,
                            lost,
                            allAtOnce);
                }
                analysis.startStage(stage);
            }
        }
    }

    private void window(long w, int changed, boolean begun) {
        double common = all.next();
        double[] trouble = new double[ZONES];
        double[] incident = new double[ZONES];
        for (int z = 0; z < ZONES; z++) {
            trouble[z] = common + zones[z].next();
            incident[z] = incidents[z].next();
        }
        List<String> topics = new ArrayList<>();
        plan.classMargins()
                .keySet()
                .forEach(c -> topics.add(WindowCounters.classTopic(plan.key(), c)));
        topics.add(WindowCounters.classTopic(plan.key(), Plan.OTHER_CLASSES));
        topics.add(WindowCounters.processTopic(plan.key()));
        double jam = effect.jam() * changed / sites.size();
        sites.forEach(
                (name, site) -> {
                    int zone = plan.zoneByMember().get(name).charAt(1) - '0';
                    boolean isNew = order.position(name) < changed;
                    long[][] tallies =
                            site.window(isNew, effect, trouble[zone], incident[zone], jam);
                    for (int i = 0; i < tallies.length; i++) {
                        if (loss.nextDouble() >= MISSING) {
                            board.tally(topics.get(i), name, w, tallies[i]);
                        }
                    }
                    requests += isNew ? site.requests : 0;
                    lost += site.lost;
                    allAtOnce += begun ? site.requests * (effect.unserved() + effect.jam()) : 0;
                });
    }
}
