package loadbalancer.rollout.analysis;

import loadbalancer.rollout.plan.Metric;

/** Values of the compared metrics from the counters of one or more windows. Stateless. */
final class MetricValues {
    private MetricValues() {}

    /** The metric's value on its own scale; NaN where the counters do not define it. */
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

    /** A balancer with no attempts at all does not count them. */
    private static double attemptsPerRequest(long[] values, double requests) {
        long attempts = values[WindowCounters.ATTEMPTS];
        return attempts == 0 ? Double.NaN : attempts / requests;
    }

    /** Mean logarithm of the response times, by the middles of their buckets. */
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
