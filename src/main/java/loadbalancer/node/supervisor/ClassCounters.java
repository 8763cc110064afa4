package loadbalancer.node.supervisor;

import loadbalancer.rollout.analysis.LatencyBuckets;
import loadbalancer.rollout.analysis.WindowCounters;

/**
 * Sums the counters of one request class in a window over all processes. If a process lacks a
 * counter, the class counts as missing rather than as zero, so that a program cannot pass the
 * analysis by no longer counting its failures. Not thread-safe.
 */
final class ClassCounters {
    private final long[] values = new long[WindowCounters.CLASS_VALUES];
    private boolean isMissing;

    /** Adds the increase of a process's counters between two samples. */
    void add(String requestClass, ProcessSample sample, ProcessSample earlier) {
        long served = sample.increase(StatsNames.served(requestClass), earlier);
        long late = sample.increase(StatsNames.servedLate(requestClass), earlier);
        long rejected = sample.increase(StatsNames.rejected(requestClass), earlier);
        long failed = sample.increase(StatsNames.failed(requestClass), earlier);
        long attempts = sample.increase(StatsNames.attempts(requestClass), earlier);
        isMissing |= Math.min(Math.min(late, attempts), Math.min(rejected, failed)) < 0;
        for (int i = 0; i < LatencyBuckets.COUNT; i++) {
            long inBucket = sample.increase(StatsNames.responseTimes(requestClass, i), earlier);
            isMissing |= inBucket < 0;
            values[WindowCounters.bucketIndex(i)] += inBucket;
        }
        values[WindowCounters.SERVED_ON_TIME] += Math.max(0, served - late);
        values[WindowCounters.SERVED_LATE] += late;
        values[WindowCounters.REJECTED] += rejected;
        values[WindowCounters.FAILED] += failed;
        values[WindowCounters.ATTEMPTS] += attempts;
    }

    /** Returns whether any process lacked a counter. */
    boolean isMissing() {
        return isMissing;
    }

    /** Returns the number of completed requests. */
    long requests() {
        long requests = 0;
        for (int i = WindowCounters.SERVED_ON_TIME; i <= WindowCounters.FAILED; i++) {
            requests += values[i];
        }
        return requests;
    }

    /** Returns the values to publish, including the cohort. */
    long[] values(long cohortBits) {
        values[WindowCounters.COHORT] = cohortBits;
        return values;
    }
}
