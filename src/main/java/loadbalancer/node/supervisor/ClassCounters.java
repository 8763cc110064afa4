package loadbalancer.node.supervisor;

import loadbalancer.rollout.analysis.LatencyBuckets;
import loadbalancer.rollout.analysis.WindowCounters;

/**
 * Counters of one request class in a window, summed up over the processes. A counter that a process
 * does not have makes the class missing, not zero: a program must not pass by no longer counting
 * its failures. Not thread-safe.
 */
final class ClassCounters {
    private final long[] values = new long[WindowCounters.CLASS_VALUES];
    private boolean isMissing;

    /** Adds what a class of a process has counted between two samples. */
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

    /** Whether a process did not have all counters. */
    boolean isMissing() {
        return isMissing;
    }

    /** Completed requests. */
    long requests() {
        long requests = 0;
        for (int i = WindowCounters.SERVED_ON_TIME; i <= WindowCounters.FAILED; i++) {
            requests += values[i];
        }
        return requests;
    }

    /** The values to publish. */
    long[] values(long cohortBits) {
        values[WindowCounters.COHORT] = cohortBits;
        return values;
    }
}
