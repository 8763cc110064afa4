package loadbalancer.rollout.analysis;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.plan.Metric;
import loadbalancer.rollout.plan.Order;
import loadbalancer.rollout.plan.Plan;

/**
 * One member's verdict on a plan's stages, window by window. Stage 0 is the time before the change;
 * its verdict is that enough is known of it.
 *
 * <p>With a new program that does just as well, the chance that any comparison of any stage ever
 * says worse is {@value #FALSE_STOP} at most: it is shared out over all of them.
 */
public final class CanaryAnalysis {
    /**
     * Length of a window in microseconds. Shorter ones hold too few requests, longer ones stop
     * later.
     */
    public static final long WINDOW_US = 5_000_000;

    /** Chance of a false stop over the whole plan. */
    public static final double FALSE_STOP = 0.01;

    /**
     * So many windows later, figures have come round even in 1,000 members, or count as missing.
     */
    static final int SETTLE = 3;

    /**
     * One that was stopped looks no further back: older figures may have aged out at some and not
     * at others.
     */
    private static final int LOOK_BACK = 24;

    /** Of the last minute, three quarters must be whole to go on. */
    private static final int RECENT = 12;

    private static final int RECENT_WHOLE = 9;

    /** One in ten may be missing, of fewer than ten none. */
    private static final double PRESENT = 0.9;

    /** One that claims more requests than so many typical ones adds no more to the exposure. */
    private static final double TYPICAL = 4;

    private final Plan plan;
    private final Order order;
    private final SharedState shared;
    private final List<Subject> classes = new ArrayList<>();
    private final List<Subject> all = new ArrayList<>();
    private final boolean[] whole = new boolean[RECENT];
    private long next = Long.MIN_VALUE;
    private int stage;
    private long windows;
    private double requests;
    private long worseFor;
    private String worseIn = "";

    /** Begins in stage 0. */
    public CanaryAnalysis(Plan plan, Order order, SharedState shared) {
        this.plan = plan;
        this.order = order;
        this.shared = shared;
        plan.classes().forEach((name, margins) -> classes.add(ofClass(name, margins)));
        classes.add(ofClass(Plan.OTHERS, plan.others()));
        all.addAll(classes);
        all.add(
                new Subject(
                        "the process",
                        Counts.topic(plan.key()),
                        Counts.PROCESS_VALUES,
                        plan.others(),
                        plan.zones(),
                        v -> v[Counts.REQUESTS]));
    }

    private Subject ofClass(String name, Map<Metric, Double> margins) {
        return new Subject(
                "class " + name,
                Counts.topic(plan.key(), name),
                Counts.CLASS_VALUES,
                margins,
                plan.zones(),
                Counts::requests);
    }

    /** Whether the time before is known, without which no later verdict can be given. */
    public boolean knows() {
        return all.stream().allMatch(s -> s.idle() || s.known(plan.least()))
                && classes.stream().anyMatch(s -> !s.idle());
    }

    /** A stage has opened: what was seen of the one before decides nothing any more. */
    public void enter(int opened) {
        stage = opened;
        windows = 0;
        requests = 0;
        worseFor = 0;
        Arrays.fill(whole, false);
        all.forEach(Subject::restart);
    }

    /** Takes in all windows that are old enough, and says what is held of the stage. */
    public Verdict look(long window) {
        long last = window - SETTLE;
        if (next == Long.MIN_VALUE) {
            next = last + 1; // windows before it knew of the plan may be another's
        }
        for (next = Math.max(next, last - LOOK_BACK); next <= last; next++) {
            take(next);
        }
        return stage == 0 ? known() : compared();
    }

    private void take(long window) {
        List<Map<String, long[]>> figures = all.stream().map(s -> figures(s, window)).toList();
        boolean complete = figures.stream().allMatch(this::complete);
        whole[(int) Math.floorMod(window, (long) RECENT)] = complete;
        for (int i = 0; i < all.size(); i++) {
            if (stage == 0) {
                all.get(i).before(figures.get(i));
            } else {
                all.get(i).during(figures.get(i));
            }
        }
        if (complete) {
            windows++;
            requests += stage == 0 ? 0 : exposure(figures.get(all.size() - 1));
        }
        worse();
    }

    /** Figures of those whose word counts, and who may run what they say they run. */
    private Map<String, long[]> figures(Subject subject, long window) {
        Map<String, long[]> figures = new TreeMap<>();
        for (Counters tally : shared.counters(subject.topic, window).values()) {
            String name = tally.member();
            boolean told =
                    plan.zones().containsKey(name)
                            && shared.isEligibleVoter(name)
                            && Counts.valid(tally.values(), subject.length);
            if (told
                    && (tally.values()[0] == Counts.OLD
                            || order.place(name) < order.target(stage))) {
                figures.put(name, tally.values());
            }
        }
        return figures;
    }

    private boolean complete(Map<String, long[]> figures) {
        int members = plan.zones().size();
        int target = order.target(stage);
        long changed = figures.values().stream().filter(v -> v[0] == Counts.NEW).count();
        long kept = figures.size() - changed;
        return stage == 0
                ? kept >= plan.least()
                : changed >= Math.ceil(PRESENT * target) && 2 * kept >= members - target;
    }

    private double exposure(Map<String, long[]> process) {
        double typical =
                RobustStatistics.median(
                        process.values().stream().mapToDouble(v -> v[Counts.REQUESTS]).toArray());
        return process.values().stream()
                .filter(v -> v[0] == Counts.NEW)
                .mapToDouble(v -> Math.min(v[Counts.REQUESTS], TYPICAL * typical))
                .sum();
    }

    private void worse() {
        String in = "";
        for (Subject subject : classes) {
            Metric metric = stage == 0 || subject.idle() ? null : subject.worseThanBefore();
            if (metric != null) {
                in = subject.name + ", " + metric.key();
            }
        }
        worseFor = in.isEmpty() ? 0 : worseFor + 1;
        worseIn = in;
    }

    private Verdict known() {
        if (windows * WINDOW_US < plan.exposure().before() * 1_000_000) {
            return Verdict.waits("too little is known of the time before");
        }
        for (Subject subject : all) {
            if (!subject.idle() && !subject.known(plan.least())) {
                return Verdict.waits(
                        "the time before varies too much for the margins of " + subject.name);
            }
        }
        return knows() ? recent("the time before is known") : Verdict.waits("there is no traffic");
    }

    private Verdict compared() {
        if (!knows()) {
            return Verdict.waits("came too late to know the time before");
        }
        double threshold =
                Math.log(
                        plan.last()
                                * all.stream().mapToInt(s -> s.comparisons.size()).sum()
                                / FALSE_STOP);
        for (Subject subject : all) {
            for (Comparison comparison : subject.comparisons) {
                if (comparison.isWorse(threshold)) {
                    return Verdict.stop(
                            "the new does worse than the old: "
                                    + subject.name
                                    + ", "
                                    + comparison.metric.key());
                }
            }
        }
        if (worseFor * WINDOW_US > plan.exposure().longest() * 1_000_000 / 4) {
            return Verdict.stop("old and new are worse than before: " + worseIn);
        }
        if (worseFor > 0) {
            return Verdict.waits("old and new are worse than before: " + worseIn);
        }
        if (requests < plan.exposure().requests()) {
            return Verdict.waits("too few requests so far");
        }
        if (windows * WINDOW_US < plan.exposure().seconds() * 1_000_000) {
            return Verdict.waits("too little time so far");
        }
        boolean alone = order.target(stage) == plan.zones().size();
        for (Subject subject : all) {
            for (Comparison comparison : subject.comparisons) {
                if (!alone && !subject.idle() && !comparison.isWellEnough()) {
                    return Verdict.waits(
                            "not shown yet to be as good: "
                                    + subject.name
                                    + ", "
                                    + comparison.metric.key());
                }
            }
        }
        return recent("as good as the old");
    }

    /** Nothing goes on by figures that have stopped coming. */
    private Verdict recent(String reason) {
        int n = 0;
        for (boolean w : whole) {
            n += w ? 1 : 0;
        }
        return n >= RECENT_WHOLE
                ? new Verdict(Verdict.Kind.GO, reason)
                : Verdict.waits("figures are missing");
    }
}
