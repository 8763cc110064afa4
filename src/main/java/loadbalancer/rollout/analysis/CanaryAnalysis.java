package loadbalancer.rollout.analysis;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.plan.Metric;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.RolloutOrder;

/**
 * Automated canary analysis of one plan at one member. It compares the canary with the baseline in
 * each window and returns a verdict on the open stage. Stage 0 is the time before the change and
 * passes when the baseline is known.
 *
 * <p>If the new program is no worse, the probability that any comparison in any stage ever reports
 * a regression is at most {@value #FALSE_HALT_PROBABILITY}, divided among all comparisons and
 * stages.
 *
 * <p>Not thread-safe. Windows are numbered by the wall clock, which this class does not read.
 */
public final class CanaryAnalysis {
    /** Length of a window. Shorter ones have too few requests, longer ones delay detection. */
    public static final long WINDOW_MICROS = 5_000_000;

    /** Maximum probability of a false halt over the whole plan. */
    public static final double FALSE_HALT_PROBABILITY = 0.01;

    /** Windows after which counters have reached all members, up to 1,000, or are missing. */
    static final int SETTLING_WINDOWS = 3;

    /** Limit after a pause, since some members may have dropped older counters. */
    private static final int MAX_CATCH_UP_WINDOWS = 24;

    /** Number of recent windows, which cover the last minute. */
    private static final int RECENT_WINDOWS = 12;

    /** Number of recent windows that must be complete for a pass. */
    private static final int MIN_RECENT_COMPLETE = 9;

    /** A stage that is worse than before for its time limit divided by this number fails. */
    private static final int WORSE_THAN_BEFORE_DIVISOR = 4;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Plan plan;
    private final RolloutOrder order;
    private final WindowCollector collector;
    private final List<MetricGroup> classGroups = new ArrayList<>();
    private final List<MetricGroup> groups = new ArrayList<>();
    private final boolean[] recentComplete = new boolean[RECENT_WINDOWS];
    private long nextWindow = Long.MIN_VALUE;
    private int stage;
    private long completeWindows;
    private double canaryRequests;
    private long windowsWorseThanBefore;
    private String worseThanBefore = "";

    /** Creates an analysis in stage 0. */
    public CanaryAnalysis(Plan plan, RolloutOrder order, SharedState shared) {
        this.plan = plan;
        this.order = order;
        this.collector = new WindowCollector(plan, order, shared);
        plan.classMargins()
                .forEach(
                        (name, margins) ->
                                classGroups.add(MetricGroup.ofClass(plan, name, margins)));
        classGroups.add(MetricGroup.ofClass(plan, Plan.OTHER_CLASSES, plan.defaultMargins()));
        groups.addAll(classGroups);
        groups.add(MetricGroup.ofProcess(plan));
    }

    /** Returns whether the baseline is known, which verdicts on later stages require. */
    public boolean isBaselineKnown() {
        return groups.stream()
                        .allMatch(
                                group -> group.isIdle() || group.isBaselineKnown(plan.minServing()))
                && classGroups.stream().anyMatch(group -> !group.isIdle());
    }

    /** Starts a stage and discards the observations of the previous one. */
    public void startStage(int openedStage) {
        stage = openedStage;
        completeWindows = 0;
        canaryRequests = 0;
        windowsWorseThanBefore = 0;
        Arrays.fill(recentComplete, false);
        groups.forEach(MetricGroup::startStage);
    }

    /** Analyzes all windows settled at {@code currentWindow} and returns the verdict. */
    public Verdict analyze(long currentWindow) {
        long lastSettled = currentWindow - SETTLING_WINDOWS;
        if (nextWindow == Long.MIN_VALUE) {
            nextWindow = lastSettled + 1; // earlier windows may belong to another plan
        }
        nextWindow = Math.max(nextWindow, lastSettled - MAX_CATCH_UP_WINDOWS);
        for (; nextWindow <= lastSettled; nextWindow++) {
            addWindow(nextWindow);
        }
        return stage == 0 ? baselineVerdict() : stageVerdict();
    }

    private void addWindow(long window) {
        List<Map<String, long[]>> counters =
                groups.stream().map(group -> collector.collect(group, window, stage)).toList();
        boolean isComplete =
                counters.stream().allMatch(byMember -> collector.isComplete(byMember, stage));
        recentComplete[(int) Math.floorMod(window, (long) RECENT_WINDOWS)] = isComplete;
        for (int i = 0; i < groups.size(); i++) {
            if (stage == 0) {
                groups.get(i).addBaselineWindow(counters.get(i));
            } else {
                groups.get(i).addStageWindow(counters.get(i));
            }
        }
        if (isComplete) {
            Map<String, long[]> processCounters = counters.get(groups.size() - 1);
            completeWindows++;
            canaryRequests += stage == 0 ? 0 : WindowCollector.canaryRequests(processCounters);
        }
        compareWithPreChange();
    }

    private void compareWithPreChange() {
        worseThanBefore = "";
        for (MetricGroup group : classGroups) {
            if (stage > 0 && !group.isIdle()) {
                Optional<Metric> metric = group.worseThanBeforeChange();
                if (metric.isPresent()) {
                    worseThanBefore = describe(group, metric.get());
                }
            }
        }
        windowsWorseThanBefore = worseThanBefore.isEmpty() ? 0 : windowsWorseThanBefore + 1;
    }

    private static String describe(MetricGroup group, Metric metric) {
        return group.name() + ", " + metric.key();
    }

    private Verdict baselineVerdict() {
        if (completeMicros() < plan.exposure().baselineSeconds() * MICROS_PER_SECOND) {
            return Verdict.inconclusive("too little baseline data so far");
        }
        for (MetricGroup group : groups) {
            if (!group.isIdle() && !group.isBaselineKnown(plan.minServing())) {
                return Verdict.inconclusive(
                        "the baseline varies too much for the margins of " + group.name());
            }
        }
        return isBaselineKnown()
                ? passIfMetricsArrive("the baseline is known")
                : Verdict.inconclusive("no traffic");
    }

    private Verdict stageVerdict() {
        if (!isBaselineKnown()) {
            return Verdict.inconclusive("this member joined too late to know the baseline");
        }
        double threshold = regressionThreshold();
        Optional<String> regression =
                firstMatch(groups.stream(), comparison -> comparison.isRegression(threshold));
        if (regression.isPresent()) {
            return Verdict.fail("canary is worse than the baseline: " + regression.get());
        }
        if (windowsWorseThanBefore > 0) {
            return worseThanBeforeVerdict();
        }
        if (canaryRequests < plan.exposure().minRequests()) {
            return Verdict.inconclusive("too few requests so far");
        }
        if (completeMicros() < plan.exposure().minSeconds() * MICROS_PER_SECOND) {
            return Verdict.inconclusive("too little time so far");
        }
        Optional<String> undecided = firstUndecided();
        return undecided.isPresent()
                ? Verdict.inconclusive("not yet shown to be non-inferior: " + undecided.get())
                : passIfMetricsArrive("non-inferior to the baseline");
    }

    private long completeMicros() {
        return completeWindows * WINDOW_MICROS;
    }

    /** Returns the natural logarithm of the e-value from which a comparison is a regression. */
    private double regressionThreshold() {
        int comparisons = groups.stream().mapToInt(group -> group.comparisons().size()).sum();
        return Math.log(plan.stageCount() * comparisons / FALSE_HALT_PROBABILITY);
    }

    private Verdict worseThanBeforeVerdict() {
        String reason = "canary and baseline are worse than before the change: " + worseThanBefore;
        long limitMicros =
                plan.exposure().maxSeconds() * MICROS_PER_SECOND / WORSE_THAN_BEFORE_DIVISOR;
        return windowsWorseThanBefore * WINDOW_MICROS > limitMicros
                ? Verdict.fail(reason)
                : Verdict.inconclusive(reason);
    }

    /** Returns the first comparison without non-inferiority; empty without a baseline cohort. */
    private Optional<String> firstUndecided() {
        boolean hasBaselineCohort = order.targetCount(stage) < plan.zoneByMember().size();
        return hasBaselineCohort
                ? firstMatch(
                        groups.stream().filter(group -> !group.isIdle()),
                        comparison -> !comparison.isNonInferior())
                : Optional.empty();
    }

    private static Optional<String> firstMatch(
            Stream<MetricGroup> groups, Predicate<MetricComparison> condition) {
        return groups.flatMap(
                        group ->
                                group.comparisons().stream()
                                        .filter(condition)
                                        .map(comparison -> describe(group, comparison.metric())))
                .findFirst();
    }

    /** Returns a pass only if recent counters are complete. */
    private Verdict passIfMetricsArrive(String reason) {
        int complete = 0;
        for (boolean isComplete : recentComplete) {
            complete += isComplete ? 1 : 0;
        }
        return complete >= MIN_RECENT_COMPLETE
                ? Verdict.pass(reason)
                : Verdict.inconclusive("metrics are missing");
    }
}
