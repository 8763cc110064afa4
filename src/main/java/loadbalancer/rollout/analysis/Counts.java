package loadbalancer.rollout.analysis;

import loadbalancer.rollout.plan.Metric;
import org.HdrHistogram.AbstractHistogram;

/**
 * What a balancer states of a window, as values of a tally. The first value tells the program: a
 * bit each for old and new, so that it too only grows, and a window in which both served tells so
 * by itself.
 */
public final class Counts {
    /** The program from before the plan. */
    public static final long OLD = 1;

    /** The plan's. */
    public static final long NEW = 2;

    /** Places of a class's values, behind the program's; the times' buckets follow. */
    public static final int SERVED = 1;

    /** Answered, but after the aim. */
    public static final int LATE = 2;

    /** Refused by the balancer. */
    public static final int REFUSED = 3;

    /** A bad answer, or none. */
    public static final int FAILED = 4;

    /** Attempts at upstreams. */
    public static final int ATTEMPTS = 5;

    private static final int TIMES = 6;

    /**
     * Each 1.6 times as wide as the one before: a shift of a tenth moves enough requests over an
     * edge.
     */
    public static final int BUCKETS = 16;

    private static final double WIDTH = 1.6;

    /** Microseconds; below it answers differ by the network's chance only. */
    private static final double FIRST_EDGE = 2_000;

    /** Values of a class's tally. */
    public static final int CLASS_VALUES = TIMES + BUCKETS;

    /** Places of the process's values. */
    public static final int REQUESTS = 1;

    /** Microseconds of processor time. */
    public static final int PROCESSOR = 2;

    /** Kilobytes of memory. */
    public static final int MEMORY = 3;

    /** How many windows: 1, so that sums of several can be told from one. */
    public static final int WINDOWS = 4;

    /** Values of a process's tally. */
    public static final int PROCESS_VALUES = 5;

    /** Far above what a balancer can do in a window, and far from overflow when 1,000 are added. */
    private static final long MOST = 1L << 50;

    private Counts() {}

    /**
     * The topic of a class of a plan; {@link loadbalancer.rollout.plan.Plan#OTHERS} for the rest.
     */
    public static String topic(String plan, String requestClass) {
        return "rollout/c/" + plan + "/" + requestClass;
    }

    /** The topic of the process as a whole. */
    public static String topic(String plan) {
        return "rollout/p/" + plan;
    }

    /** The values of a class in a window; answer times are microseconds. */
    public static long[] ofClass(long program, long[] outcomes, AbstractHistogram times) {
        long[] values = new long[CLASS_VALUES];
        values[0] = program;
        System.arraycopy(outcomes, 0, values, SERVED, ATTEMPTS);
        long from = 0;
        for (int i = 0; i < BUCKETS; i++) {
            long to = i == BUCKETS - 1 ? Long.MAX_VALUE : (long) edge(i);
            values[TIMES + i] =
                    times.getTotalCount() == 0 || from > times.getMaxValue()
                            ? 0
                            : times.getCountBetweenValues(from, Math.min(to, times.getMaxValue()));
            from = i == BUCKETS - 1 ? 0 : times.highestEquivalentValue(to) + 1;
        }
        return values;
    }

    /** The values of the process in a window. */
    public static long[] ofProcess(
            long program, long requests, long processorMicros, long memoryKb) {
        return new long[] {program, requests, processorMicros, memoryKb, 1};
    }

    /** The bucket of an answer time in microseconds. */
    public static int bucket(double micros) {
        return (int)
                Math.max(
                        0,
                        Math.min(
                                BUCKETS - 1,
                                Math.ceil(Math.log(micros / FIRST_EDGE) / Math.log(WIDTH))));
    }

    /** The place of a bucket among a class's values. */
    public static int timePlace(int bucket) {
        return TIMES + bucket;
    }

    /** Upper edge of a bucket in microseconds; the last has none. */
    public static double edge(int bucket) {
        return FIRST_EDGE * Math.pow(WIDTH, bucket);
    }

    /** Whether values can be what they claim; another's word may hold anything. */
    static boolean valid(long[] values, int length) {
        if (values.length < length) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            if (values[i] < 0 || values[i] > MOST) {
                return false;
            }
        }
        return values[0] == OLD || values[0] == NEW;
    }

    /** Requests that ended. */
    static double requests(long[] values) {
        return (double) values[SERVED] + values[LATE] + values[REFUSED] + values[FAILED];
    }

    /** The metric's value; not a number where there is nothing to tell it from. */
    static double value(Metric metric, long[] values) {
        return switch (metric) {
            case SERVED -> 1 - values[SERVED] / requests(values);
            case LATE -> values[LATE] / requests(values);
            case REFUSED -> values[REFUSED] / requests(values);
            case FAILED -> values[FAILED] / requests(values);
            // None at all is a balancer that does not count them.
            case ATTEMPTS ->
                    values[ATTEMPTS] == 0 ? Double.NaN : values[ATTEMPTS] / requests(values);
            case TIME -> time(values);
            case PROCESSOR -> log((double) values[PROCESSOR] / values[REQUESTS]);
            case MEMORY -> log((double) values[MEMORY] / values[WINDOWS]);
        };
    }

    /** Mean logarithm of the times, by the middles of their buckets. */
    private static double time(long[] values) {
        double sum = 0;
        double count = 0;
        for (int i = 0; i < BUCKETS; i++) {
            sum += values[TIMES + i] * (i - 0.5) * Math.log(WIDTH);
            count += values[TIMES + i];
        }
        return sum / count;
    }

    private static double log(double value) {
        return value > 0 && Double.isFinite(value) ? Math.log(value) : Double.NaN;
    }
}
