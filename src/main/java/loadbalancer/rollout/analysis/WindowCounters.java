package loadbalancer.rollout.analysis;

import org.HdrHistogram.AbstractHistogram;

/**
 * Defines the layout of the counters that a balancer publishes per window: the cohort bits,
 * followed by the counters of a request class or of the process. A window in which both programs
 * served has both bits set and counts for neither cohort.
 *
 * <p>Stateless. All versions use the same layout and topics.
 */
public final class WindowCounters {
    /** Index of the cohort bits. */
    public static final int COHORT = 0;

    /** Cohort bit of the program from before the plan. */
    public static final long BASELINE = 1;

    /** Cohort bit of the plan's program. */
    public static final long CANARY = 2;

    /** Index of requests that were served within their latency objective. */
    public static final int SERVED_ON_TIME = 1;

    /** Index of requests that were served after their latency objective. */
    public static final int SERVED_LATE = 2;

    /** Index of requests that the balancer rejected. */
    public static final int REJECTED = 3;

    /** Index of requests with an error response or no response. */
    public static final int FAILED = 4;

    /** Index of attempts at upstreams. */
    public static final int ATTEMPTS = 5;

    /** Number of counters of a request class. */
    public static final int CLASS_VALUES = 6 + LatencyBuckets.COUNT;

    /** Index of requests in the counters of the process. */
    public static final int REQUESTS = 1;

    /** Index of the processor time in microseconds. */
    public static final int CPU_MICROS = 2;

    /** Index of the resident memory in kilobytes. */
    public static final int MEMORY_KILOBYTES = 3;

    /** Index of the number of windows, which is 1 and accumulates in sums. */
    public static final int WINDOWS = 4;

    /** Number of counters of the process. */
    public static final int PROCESS_VALUES = 5;

    private static final int FIRST_BUCKET = 6;

    /** Exceeds any real count, while sums over 1,000 members do not overflow. */
    private static final long MAX_VALUE = 1L << 50;

    private static final String CLASS_TOPIC_PREFIX = "rollout/c/";
    private static final String PROCESS_TOPIC_PREFIX = "rollout/p/";

    private WindowCounters() {}

    /** Returns the topic of a class; {@code Plan.OTHER_CLASSES} means all other classes. */
    public static String classTopic(String planKey, String requestClass) {
        return CLASS_TOPIC_PREFIX + planKey + "/" + requestClass;
    }

    /** Returns the topic of the process. */
    public static String processTopic(String planKey) {
        return PROCESS_TOPIC_PREFIX + planKey;
    }

    /** Returns the index of a response time bucket in the counters of a class. */
    public static int bucketIndex(int bucket) {
        return FIRST_BUCKET + bucket;
    }

    /**
     * Returns the counters of a request class in a window.
     *
     * @param outcomes numbers of requests served on time, served late, rejected and failed, and of
     *     attempts
     * @param responseTimes response times in microseconds
     */
    public static long[] ofClass(long cohort, long[] outcomes, AbstractHistogram responseTimes) {
        long[] values = new long[CLASS_VALUES];
        values[COHORT] = cohort;
        System.arraycopy(outcomes, 0, values, SERVED_ON_TIME, ATTEMPTS);
        long from = 0;
        for (int i = 0; i < LatencyBuckets.COUNT; i++) {
            boolean isLast = i == LatencyBuckets.COUNT - 1;
            long to = isLast ? Long.MAX_VALUE : (long) LatencyBuckets.upperEdgeMicros(i);
            boolean isEmpty =
                    responseTimes.getTotalCount() == 0 || from > responseTimes.getMaxValue();
            values[bucketIndex(i)] =
                    isEmpty
                            ? 0
                            : responseTimes.getCountBetweenValues(
                                    from, Math.min(to, responseTimes.getMaxValue()));
            from = isLast ? 0 : responseTimes.highestEquivalentValue(to) + 1;
        }
        return values;
    }

    /** Returns the counters of the process in a window. */
    public static long[] ofProcess(
            long cohort, long requests, long cpuMicros, long memoryKilobytes) {
        return new long[] {cohort, requests, cpuMicros, memoryKilobytes, 1};
    }

    /** Returns whether values from another member are valid counters of one cohort. */
    static boolean isValid(long[] values, int length) {
        if (values.length < length) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            if (values[i] < 0 || values[i] > MAX_VALUE) {
                return false;
            }
        }
        return values[COHORT] == BASELINE || values[COHORT] == CANARY;
    }

    static boolean isCanary(long[] values) {
        return values[COHORT] == CANARY;
    }

    /** Returns the number of completed requests of a class. */
    static double completedRequests(long[] values) {
        return (double) values[SERVED_ON_TIME]
                + values[SERVED_LATE]
                + values[REJECTED]
                + values[FAILED];
    }
}
