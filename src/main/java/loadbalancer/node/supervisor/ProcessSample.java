package loadbalancer.node.supervisor;

import java.util.Map;

/**
 * What one process has counted since its start. Immutable.
 *
 * @param counters of its STATS by name; empty if it did not respond
 * @param cpuMicros processor time, 0 if unknown
 * @param memoryKilobytes resident, 0 if unknown
 */
record ProcessSample(Map<String, Long> counters, long cpuMicros, long memoryKilobytes) {
    /** Of a process that has counted nothing yet. */
    static final ProcessSample EMPTY = new ProcessSample(Map.of(), 0, 0);

    /** By how much a counter has risen since; -1 if this sample does not have it. */
    long increase(String counter, ProcessSample earlier) {
        Long value = counters.get(counter);
        return value == null ? -1 : Math.max(0, value - earlier.counters.getOrDefault(counter, 0L));
    }
}
