package loadbalancer.rollout.analysis;

import loadbalancer.rollout.plan.Metric;

/** Computes metric values from the counters of one or more windows. Stateless. */
final class MetricValues {
    private MetricValues() {}

    /** Returns the value on the metric's scale, or NaN if the counters do not define it. */
    static double of(Metric metric, long[] values) {
        double requests = WindowCounters.completedRequests(values);
        return switch (metric) {
            case NOT_SERVED_ON_TIME -> 1 - values[WindowCounters.SERVED_ON_TIME] / requests;
            case SERVED_LATE -> values[WindowCounters.SERVED_LATE] / requests;
            case REJECTED -> values[WindowCounters.REJECTED] / requests;
            case FAILED -> values[WindowCounters.FAILED] / requests;
            case ATTEMPTS -> attemptsPerRequest(values, requests);
            case RESPONSE_TIME -> meanLogResponseTime(values);
            case CPU_TIME ->
                    logOf(
                            (double) values[WindowCounters.CPU_MICROS]
                                    / values[WindowCounters.REQUESTS]);
            case MEMORY ->
                    logOf(
                            (double) values[WindowCounters.MEMORY_KILOBYTES]
                                    / values[WindowCounters.WINDOWS]);
        };
    }

    /** Returns NaN for zero attempts, since such a balancer does not count attempts. */
    private static double attemptsPerRequest(long[] values, double requests) {
        long attempts = values[WindowCounters.ATTEMPTS];
        return attempts == 0 ? Double.NaN : attempts / requests;
    }

    /** Returns the mean logarithm of the response times, using the middle of each bucket. */
    private static double meanLogResponseTime(long[] values) {
        double sum = 0;
        double count = 0;
        for (int i = 0; i < LatencyBuckets.COUNT; i++) {
            long inBucket = values[WindowCounters.bucketIndex(i)];
            sum += inBucket * (i - 0.5) * Math.log(LatencyBuckets.GROWTH_FACTOR);
            count += inBucket;
        }
        return sum / count;
    }

    private static double logOf(double value) {
        return value > 0 && Double.isFinite(value) ? Math.log(value) : Double.NaN;
    }
}
