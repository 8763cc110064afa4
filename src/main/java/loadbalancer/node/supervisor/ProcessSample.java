package loadbalancer.node.supervisor;

import java.util.Map;

/**
 * Counters and resource usage of one process since its start. Immutable.
 *
 * @param counters counters of the process's STATS by name; empty if it did not respond
 * @param cpuMicros processor time, 0 if unknown
 * @param memoryKilobytes resident memory, 0 if unknown
 */
record ProcessSample(Map<String, Long> counters, long cpuMicros, long memoryKilobytes) {
    /** The sample of a process that has not counted anything yet. */
    static final ProcessSample EMPTY = new ProcessSample(Map.of(), 0, 0);

    /**
     * Returns the increase of a counter since the earlier sample; -1 if this sample lacks the
     * counter.
     */
    long increase(String counter, ProcessSample earlier) {
        Long value = counters.get(counter);
        return value == null ? -1 : Math.max(0, value - earlier.counters.getOrDefault(counter, 0L));
    }
}
