package loadbalancer.rollout.analysis;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import loadbalancer.rollout.plan.Metric;

/**
 * One class, or the process: its figures of all balancers, its time before, and its comparisons.
 * The unit of the test is a window of the whole fleet and not a request: requests of one window
 * share its troubles. Within it each balancer counts by its difference from its own time before and
 * from its zone's middle, bounded, so that what hits a whole zone, or is a balancer's own habit, is
 * not the new program's doing.
 */
final class Subject {
    /**
     * Requests of the typical balancer in a unit: of fewer, one failure would be several margins.
     */
    private static final double ENOUGH = 50;

    /** Windows of a unit at most; a class with less traffic waits, and runs out of time. */
    private static final int LONGEST_UNIT = 16;

    final String name;
    final String topic;
    final int length;
    final List<Comparison> comparisons;
    private final Map<String, String> zones;
    private final ToDoubleFunction<long[]> requests;
    private final Map<String, QuietBaseline[]> bases = new TreeMap<>();
    private final Map<String, long[]> sums = new TreeMap<>();
    private final Map<String, Integer> seen = new HashMap<>();
    private final PreChangeComparison before;
    private int windows;
    private int unit = 1;
    private boolean idle = true;

    Subject(
            String name,
            String topic,
            int length,
            Map<Metric, Double> margins,
            Map<String, String> zones,
            ToDoubleFunction<long[]> requests) {
        this.name = name;
        this.topic = topic;
        this.length = length;
        this.zones = zones;
        this.requests = requests;
        this.comparisons =
                margins.entrySet().stream()
                        .filter(e -> e.getKey().ofProcess() == (length == Counts.PROCESS_VALUES))
                        .map(e -> new Comparison(e.getKey(), e.getKey().scaled(e.getValue())))
                        .toList();
        this.before = new PreChangeComparison(comparisons.size());
    }

    /** Whether nothing of the class was there before; then there is nothing to compare. */
    boolean idle() {
        return idle;
    }

    /** A window of the time before. */
    void before(Map<String, long[]> window) {
        collect(window);
        if (windows < QuietBaseline.BATCH) {
            return;
        }
        double[] traffic = new double[sums.size()];
        int i = 0;
        for (var entry : sums.entrySet()) {
            QuietBaseline[] own =
                    bases.computeIfAbsent(
                            entry.getKey(),
                            n ->
                                    comparisons.stream()
                                            .map(c -> new QuietBaseline())
                                            .toArray(QuietBaseline[]::new));
            for (int m = 0; m < own.length; m++) {
                own[m].add(Counts.value(comparisons.get(m).metric, entry.getValue()));
            }
            traffic[i++] = requests.applyAsDouble(entry.getValue()) / windows;
        }
        double typical = RobustStatistics.median(traffic);
        idle &= !(Arrays.stream(traffic).sum() > 0);
        unit = 1;
        while (unit < LONGEST_UNIT && !(unit * typical >= ENOUGH)) {
            unit *= 2;
        }
        forget();
    }

    /** Whether the time before is known well enough, of so many balancers at least. */
    boolean known(int least) {
        for (int m = 0; m < comparisons.size(); m++) {
            int place = m;
            double[] errors =
                    bases.values().stream()
                            .filter(b -> b[place].known())
                            .mapToDouble(b -> b[place].error())
                            .toArray();
            if (errors.length < least
                    || !comparisons.get(m).knownBy(RobustStatistics.median(errors))) {
                return false;
            }
        }
        return true;
    }

    /** A new stage. */
    void restart() {
        comparisons.forEach(Comparison::restart);
        before.restart();
        forget();
    }

    private void forget() {
        sums.clear();
        seen.clear();
        windows = 0;
    }

    private void collect(Map<String, long[]> window) {
        windows++;
        window.forEach(
                (name, values) -> {
                    long[] sum = sums.get(name);
                    if (sum == null || sum[0] != values[0]) {
                        sums.put(name, values.clone()); // one that has changed counts from there on
                        seen.put(name, 1);
                        return;
                    }
                    for (int i = 1; i < length; i++) {
                        sum[i] += values[i];
                    }
                    seen.merge(name, 1, Integer::sum);
                });
    }

    /** A window of a stage, with the figures of those whose word counts. */
    void during(Map<String, long[]> window) {
        collect(window);
        if (windows < unit) {
            return;
        }
        sums.keySet().removeIf(name -> 2 * seen.get(name) < windows);
        for (int m = 0; m < comparisons.size(); m++) {
            compare(m);
        }
        forget();
    }

    private void compare(int metric) {
        Comparison comparison = comparisons.get(metric);
        Map<String, Zone> byZone = new TreeMap<>();
        List<Double> all = new ArrayList<>();
        sums.forEach(
                (name, values) -> {
                    QuietBaseline[] own = bases.get(name);
                    double value = Counts.value(comparison.metric, values);
                    if (own != null && own[metric].known() && !Double.isNaN(value)) {
                        double change = value - own[metric].middle();
                        all.add(change);
                        byZone.computeIfAbsent(zones.get(name), z -> new Zone())
                                .add(values[0] == Counts.NEW, change, own[metric].error());
                    }
                });
        before.add(metric, comparison.bound(), all);
        Zone both = new Zone();
        byZone.values().forEach(z -> z.into(both, comparison.bound(), comparison.incident()));
        if (both.paired()) {
            comparison.add(both.difference(), both.error());
        }
    }

    /**
     * The metric in which all together are worse than before, by more than the margins twice; else
     * null.
     */
    Metric worseThanBefore() {
        return before.worse(comparisons);
    }
}
