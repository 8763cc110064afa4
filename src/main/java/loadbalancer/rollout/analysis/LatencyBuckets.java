package loadbalancer.rollout.analysis;

/** Defines geometric buckets of response times, equal at all members. Stateless. */
public final class LatencyBuckets {
    /** Number of buckets. */
    public static final int COUNT = 16;

    /** Ratio of the widths of consecutive buckets. */
    static final double GROWTH_FACTOR = 1.6;

    /** Upper edge of bucket 0; lower response times differ only by network jitter. */
    private static final double FIRST_EDGE_MICROS = 2_000;

    private LatencyBuckets() {}

    /** Returns the bucket of a response time, from 0 to {@link #COUNT} - 1. */
    public static int indexOf(double responseTimeMicros) {
        double index =
                Math.ceil(
                        Math.log(responseTimeMicros / FIRST_EDGE_MICROS) / Math.log(GROWTH_FACTOR));
        return (int) Math.max(0, Math.min(COUNT - 1, index));
    }

    /** Returns the upper edge of a bucket in microseconds; the last bucket is unbounded. */
    public static double upperEdgeMicros(int bucket) {
        return FIRST_EDGE_MICROS * Math.pow(GROWTH_FACTOR, bucket);
    }
}
