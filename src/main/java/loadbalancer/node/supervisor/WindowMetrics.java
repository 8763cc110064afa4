package loadbalancer.node.supervisor;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.node.supervisor.Processes.Sample;
import loadbalancer.rollout.analysis.LatencyBuckets;
import loadbalancer.rollout.analysis.WindowCounters;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.stage.Measurement;

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
    void look(long now, long present, Measurement counting, Supplier<Map<String, Sample>> source) {
        if (counting == null) {
            window = Long.MIN_VALUE;
            return;
        }
        programs |= counting.cohortBits();
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
        programs = counting.cohortBits();
    }

    private void state(long now, Plan plan, Map<String, Sample> samples) {
        Map<String, long[]> classes = new TreeMap<>();
        classes.put(Plan.OTHER_CLASSES, new long[WindowCounters.CLASS_VALUES]);
        plan.classMargins()
                .keySet()
                .forEach(c -> classes.put(c, new long[WindowCounters.CLASS_VALUES]));
        long[] process = WindowCounters.ofProcess(programs, 0, 0, 0);
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
                                            plan.classMargins().containsKey(c)
                                                    ? c
                                                    : Plan.OTHER_CLASSES,
                                            sample,
                                            then));
            process[WindowCounters.CPU_MICROS] +=
                    Math.max(0, sample.processorMicros() - then.processorMicros());
            process[WindowCounters.MEMORY_KILOBYTES] += sample.memoryKb();
        }
        classes.forEach(
                (name, values) -> {
                    if (values != null) {
                        values[0] = programs;
                        for (int i = WindowCounters.SERVED_ON_TIME;
                                i <= WindowCounters.FAILED;
                                i++) {
                            process[WindowCounters.REQUESTS] += values[i];
                        }
                        shared.publishCounters(
                                now, WindowCounters.classTopic(plan.key(), name), window, values);
                    }
                });
        shared.publishCounters(now, WindowCounters.processTopic(plan.key()), window, process);
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
        for (int i = 0; i < LatencyBuckets.COUNT; i++) {
            long times = rise(sample, then, "app.times." + name + "." + i);
            missing |= times < 0;
            values[WindowCounters.bucketIndex(i)] += times;
        }
        values[WindowCounters.SERVED_ON_TIME] += Math.max(0, passed - late);
        values[WindowCounters.SERVED_LATE] += late;
        values[WindowCounters.REJECTED] += refused;
        values[WindowCounters.FAILED] += failed;
        values[WindowCounters.ATTEMPTS] += attempts;
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
