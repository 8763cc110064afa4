package loadbalancer.rollout.analysis;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import loadbalancer.rollout.plan.Metric;
import loadbalancer.rollout.plan.Plan;

/**
 * The metrics of one request class or of the process: the counters of all balancers, their
 * pre-change baselines and the comparisons.
 *
 * <p>One observation of a test covers one or more windows of the whole fleet instead of a request,
 * because the requests of a window are affected by the same incidents. Each balancer contributes
 * its change from its own baseline and from the median of its zone, so that an incident of a zone
 * or a property of a balancer is not attributed to the new program.
 *
 * <p>Not thread-safe. Windows must be added in order; no clock is read.
 */
final class MetricGroup {
    /**
     * Minimum requests of the typical balancer in an observation; with fewer, a single failure has
     * too much influence.
     */
    private static final double MIN_REQUESTS = 50;

    /** Maximum windows in an observation; with less traffic the stage waits and times out. */
    private static final int MAX_WINDOWS = 16;

    private final String name;
    private final String topic;
    private final boolean isProcess;
    private final List<MetricComparison> comparisons;
    private final Map<String, String> zoneByMember;
    private final Map<String, MemberBaseline[]> baselinesByMember = new TreeMap<>();
    private final WindowSums sums;
    private final PreChangeComparison preChange;
    private int windowsPerObservation = 1;
    private boolean isIdle = true;

    private MetricGroup(
            String name,
            String topic,
            boolean isProcess,
            Map<Metric, Double> margins,
            Map<String, String> zoneByMember) {
        this.name = name;
        this.topic = topic;
        this.isProcess = isProcess;
        this.zoneByMember = zoneByMember;
        this.comparisons =
                margins.entrySet().stream()
                        .filter(entry -> entry.getKey().isProcessMetric() == isProcess)
                        .map(MetricGroup::comparison)
                        .toList();
        this.sums = new WindowSums(valueCount());
        this.preChange = new PreChangeComparison(comparisons.size());
    }

    private static MetricComparison comparison(Map.Entry<Metric, Double> margin) {
        Metric metric = margin.getKey();
        return new MetricComparison(metric, metric.toMetricScale(margin.getValue()));
    }

    /** Creates the group of a class; {@link Plan#OTHER_CLASSES} means all other classes. */
    static MetricGroup ofClass(Plan plan, String requestClass, Map<Metric, Double> margins) {
        return new MetricGroup(
                "class " + requestClass,
                WindowCounters.classTopic(plan.key(), requestClass),
                false,
                margins,
                plan.zoneByMember());
    }

    /** Creates the group of the process metrics. */
    static MetricGroup ofProcess(Plan plan) {
        return new MetricGroup(
                "the process",
                WindowCounters.processTopic(plan.key()),
                true,
                plan.defaultMargins(),
                plan.zoneByMember());
    }

    /** Returns the name for log lines. */
    String name() {
        return name;
    }

    /** Returns the topic under which the counters of the group are published. */
    String topic() {
        return topic;
    }

    /** Returns the number of values in the counters of the group. */
    int valueCount() {
        return isProcess ? WindowCounters.PROCESS_VALUES : WindowCounters.CLASS_VALUES;
    }

    List<MetricComparison> comparisons() {
        return comparisons;
    }

    /** Returns whether there was no traffic before the change and so nothing to compare. */
    boolean isIdle() {
        return isIdle;
    }

    /** Adds a window of the time before the change. */
    void addBaselineWindow(Map<String, long[]> countersByMember) {
        sums.addWindow(countersByMember);
        if (sums.windows() < MemberBaseline.WINDOWS_PER_BATCH) {
            return;
        }
        double[] requestsPerWindow = new double[sums.byMember().size()];
        int member = 0;
        for (var entry : sums.byMember().entrySet()) {
            addBatch(entry.getKey(), entry.getValue());
            requestsPerWindow[member++] = requests(entry.getValue()) / sums.windows();
        }
        isIdle &= !(Arrays.stream(requestsPerWindow).sum() > 0);
        windowsPerObservation = observationLength(CohortStatistics.median(requestsPerWindow));
        sums.clear();
    }

    private void addBatch(String member, long[] counters) {
        MemberBaseline[] baselines =
                baselinesByMember.computeIfAbsent(member, name -> newBaselines());
        for (int i = 0; i < baselines.length; i++) {
            baselines[i].addBatch(MetricValues.of(comparisons.get(i).metric(), counters));
        }
    }

    private MemberBaseline[] newBaselines() {
        MemberBaseline[] baselines = new MemberBaseline[comparisons.size()];
        Arrays.setAll(baselines, i -> new MemberBaseline());
        return baselines;
    }

    private double requests(long[] counters) {
        return isProcess
                ? counters[WindowCounters.REQUESTS]
                : WindowCounters.completedRequests(counters);
    }

    private static int observationLength(double typicalRequestsPerWindow) {
        int windows = 1;
        while (windows < MAX_WINDOWS && !(windows * typicalRequestsPerWindow >= MIN_REQUESTS)) {
            windows *= 2;
        }
        return windows;
    }

    /** Returns whether at least {@code minMembers} baselines are precise enough for the margins. */
    boolean isBaselineKnown(int minMembers) {
        for (int i = 0; i < comparisons.size(); i++) {
            int index = i;
            double[] variances =
                    baselinesByMember.values().stream()
                            .filter(baselines -> baselines[index].isKnown())
                            .mapToDouble(baselines -> baselines[index].medianVariance())
                            .toArray();
            double typicalVariance = CohortStatistics.median(variances);
            if (variances.length < minMembers
                    || !comparisons.get(i).isBaselinePreciseEnough(typicalVariance)) {
                return false;
            }
        }
        return true;
    }

    /** Starts a new stage and discards the observations of the previous one. */
    void startStage() {
        comparisons.forEach(MetricComparison::restart);
        preChange.restart();
        sums.clear();
    }

    /** Adds a window of a stage. */
    void addStageWindow(Map<String, long[]> countersByMember) {
        sums.addWindow(countersByMember);
        if (sums.windows() < windowsPerObservation) {
            return;
        }
        sums.removeIncompleteMembers();
        for (int i = 0; i < comparisons.size(); i++) {
            compare(i);
        }
        sums.clear();
    }

    private void compare(int index) {
        MetricComparison comparison = comparisons.get(index);
        Map<String, ZoneCohorts> cohortsByZone = new TreeMap<>();
        List<Double> changes = new ArrayList<>();
        for (var entry : sums.byMember().entrySet()) {
            MemberBaseline baseline = knownBaseline(entry.getKey(), index);
            double value = MetricValues.of(comparison.metric(), entry.getValue());
            if (baseline == null || Double.isNaN(value)) {
                continue;
            }
            double change = value - baseline.median();
            changes.add(change);
            boolean isCanary = WindowCounters.isCanary(entry.getValue());
            cohortsByZone
                    .computeIfAbsent(zoneByMember.get(entry.getKey()), zone -> new ZoneCohorts())
                    .add(isCanary, change, baseline.medianVariance());
        }
        preChange.observe(index, comparison.deviationBound(), changes);
        observe(comparison, cohortsByZone.values());
    }

    /** Returns a member's baseline in the metric with an index, or null if it is not known. */
    private MemberBaseline knownBaseline(String member, int index) {
        MemberBaseline[] baselines = baselinesByMember.get(member);
        return baselines != null && baselines[index].isKnown() ? baselines[index] : null;
    }

    private static void observe(MetricComparison comparison, Iterable<ZoneCohorts> zones) {
        ZoneCohorts total = new ZoneCohorts();
        for (ZoneCohorts zone : zones) {
            zone.addTo(total, comparison.deviationBound(), comparison.incidentThreshold());
        }
        if (total.hasBothCohorts()) {
            comparison.observe(total.difference(), total.baselineVariance());
        }
    }

    /** Returns the first metric in which both cohorts together are worse than before. */
    Optional<Metric> worseThanBeforeChange() {
        return preChange.worseMetric(comparisons);
    }
}
