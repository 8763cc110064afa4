package loadbalancer.node.supervisor;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.rollout.analysis.WindowCounters;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.stage.Measurement;

/**
 * Publishes the counters of the balancer's processes for each window, as input to the canary
 * analysis. Called from the fleet's thread. Windows are numbered by the wall clock; {@code
 * nowMicros} is the time of the monotonic clock.
 */
final class WindowCountersPublisher {
    private static final long NO_WINDOW = Long.MIN_VALUE;

    private final SharedState shared;
    private Map<String, ProcessSample> earlierSamples = Map.of();
    private long window = NO_WINDOW;
    private long cohortBits;

    WindowCountersPublisher(SharedState shared) {
        this.shared = shared;
    }

    /** Stops the measurement; the current window is not published. */
    void stop() {
        window = NO_WINDOW;
    }

    /**
     * Records the current cohort, and publishes the previous window once a new one has begun.
     *
     * @param samples supplies the samples of the processes by unique id; called at most once
     */
    void update(
            long nowMicros,
            long currentWindow,
            Measurement measurement,
            Supplier<Map<String, ProcessSample>> samples) {
        cohortBits |= measurement.cohortBits();
        if (currentWindow == window) {
            return;
        }
        Map<String, ProcessSample> latest = samples.get();
        // The first window is incomplete, and after a pause the samples cover several windows.
        if (currentWindow == window + 1) {
            publish(nowMicros, measurement.plan(), latest);
        }
        earlierSamples = latest;
        window = currentWindow;
        cohortBits = measurement.cohortBits();
    }

    private void publish(long nowMicros, Plan plan, Map<String, ProcessSample> samples) {
        if (samples.values().stream().anyMatch(sample -> sample.counters().isEmpty())) {
            return; // a process did not respond: the window is not published
        }
        Map<String, ClassCounters> classes = countClasses(plan, samples);
        long requests = 0;
        for (var entry : classes.entrySet()) {
            if (!entry.getValue().isMissing()) {
                requests += entry.getValue().requests();
                shared.publishCounters(
                        nowMicros,
                        WindowCounters.classTopic(plan.key(), entry.getKey()),
                        window,
                        entry.getValue().values(cohortBits));
            }
        }
        shared.publishCounters(
                nowMicros,
                WindowCounters.processTopic(plan.key()),
                window,
                processValues(samples, requests));
    }

    private Map<String, ClassCounters> countClasses(Plan plan, Map<String, ProcessSample> samples) {
        Map<String, ClassCounters> classes = new TreeMap<>();
        classes.put(Plan.OTHER_CLASSES, new ClassCounters());
        plan.classMargins().keySet().forEach(name -> classes.put(name, new ClassCounters()));
        samples.forEach(
                (process, sample) -> {
                    for (String name : StatsNames.requestClasses(sample.counters())) {
                        ClassCounters counters =
                                classes.getOrDefault(name, classes.get(Plan.OTHER_CLASSES));
                        counters.add(name, sample, earlierSample(process));
                    }
                });
        return classes;
    }

    private long[] processValues(Map<String, ProcessSample> samples, long requests) {
        long cpuMicros = 0;
        long memoryKilobytes = 0;
        for (var entry : samples.entrySet()) {
            long earlierMicros = earlierSample(entry.getKey()).cpuMicros();
            cpuMicros += Math.max(0, entry.getValue().cpuMicros() - earlierMicros);
            memoryKilobytes += entry.getValue().memoryKilobytes();
        }
        return WindowCounters.ofProcess(cohortBits, requests, cpuMicros, memoryKilobytes);
    }

    private ProcessSample earlierSample(String process) {
        return earlierSamples.getOrDefault(process, ProcessSample.EMPTY);
    }
}
