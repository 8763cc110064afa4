package loadbalancer.node.supervisor;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.node.supervisor.Processes.Sample;
import loadbalancer.rollout.analysis.Counts;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.stage.Rollout.Counting;

/**
 * States what the balancer's processes have counted in each window. A figure that a process does
 * not show makes its class's tally missing, not zero: a program must not pass by no longer counting
 * what is bad.
 */
final class WindowMetrics {
    private final SharedState shared;
    private Map<String, Sample> before = Map.of();
    private long window = Long.MIN_VALUE;
    private long programs;

    WindowMetrics(SharedState shared) {
        this.shared = shared;
    }

    /** Looks at what is counted for, and at the window's end states it; null for nothing. */
    void look(long now, long present, Counting counting, Supplier<Map<String, Sample>> source) {
        if (counting == null) {
            window = Long.MIN_VALUE;
            return;
        }
        programs |= counting.program();
        if (present == window) {
            return;
        }
        Map<String, Sample> samples = source.get();
        // The first one has begun before it was looked at; one after a pause covers several.
        if (present == window + 1) {
            state(now, counting.plan(), samples);
        }
        before = samples;
        window = present;
        programs = counting.program();
    }

    private void state(long now, Plan plan, Map<String, Sample> samples) {
        Map<String, long[]> classes = new TreeMap<>();
        classes.put(Plan.OTHERS, new long[Counts.CLASS_VALUES]);
        plan.classes().keySet().forEach(c -> classes.put(c, new long[Counts.CLASS_VALUES]));
        long[] process = Counts.ofProcess(programs, 0, 0, 0);
        for (var entry : samples.entrySet()) {
            Sample then = before.getOrDefault(entry.getKey(), new Sample(Map.of(), 0, 0));
            Sample sample = entry.getValue();
            if (sample.figures().isEmpty()) {
                return; // it does not answer: the window is missing
            }
            sample.figures().keySet().stream()
                    .filter(f -> f.matches("app\\.handled\\..+\\.passed"))
                    .map(f -> f.substring("app.handled.".length(), f.length() - ".passed".length()))
                    .forEach(
                            c ->
                                    add(
                                            classes,
                                            c,
                                            plan.classes().containsKey(c) ? c : Plan.OTHERS,
                                            sample,
                                            then));
            process[Counts.PROCESSOR] +=
                    Math.max(0, sample.processorMicros() - then.processorMicros());
            process[Counts.MEMORY] += sample.memoryKb();
        }
        classes.forEach(
                (name, values) -> {
                    if (values != null) {
                        values[0] = programs;
                        for (int i = Counts.SERVED; i <= Counts.FAILED; i++) {
                            process[Counts.REQUESTS] += values[i];
                        }
                        shared.publishCounters(now, Counts.topic(plan.key(), name), window, values);
                    }
                });
        shared.publishCounters(now, Counts.topic(plan.key()), window, process);
    }

    /** Adds a class of a process to what it is counted under; null there means missing. */
    private static void add(
            Map<String, long[]> classes, String name, String under, Sample sample, Sample then) {
        long[] values = classes.get(under);
        if (values == null) {
            return;
        }
        long passed = rise(sample, then, "app.handled." + name + ".passed");
        long late = rise(sample, then, "app.handled." + name + ".late");
        long refused = rise(sample, then, "app.handled." + name + ".dropped");
        long failed = rise(sample, then, "app.handled." + name + ".bad_gateway");
        long attempts = rise(sample, then, "app.tries." + name);
        boolean missing = Math.min(Math.min(late, attempts), Math.min(refused, failed)) < 0;
        for (int i = 0; i < Counts.BUCKETS; i++) {
            long times = rise(sample, then, "app.times." + name + "." + i);
            missing |= times < 0;
            values[Counts.timePlace(i)] += times;
        }
        values[Counts.SERVED] += Math.max(0, passed - late);
        values[Counts.LATE] += late;
        values[Counts.REFUSED] += refused;
        values[Counts.FAILED] += failed;
        values[Counts.ATTEMPTS] += attempts;
        if (missing) {
            classes.put(under, null);
        }
    }

    /** How much a figure has risen; -1 if it is not shown. */
    private static long rise(Sample sample, Sample then, String figure) {
        Long value = sample.figures().get(figure);
        return value == null ? -1 : Math.max(0, value - then.figures().getOrDefault(figure, 0L));
    }
}
