package loadbalancer.rollout.analysis;

/** Geometric buckets of response times, the same at all members. Stateless. */
public final class LatencyBuckets {
    /** How many there are. */
    public static final int COUNT = 16;

    /** Width of a bucket over that of the one before. */
    static final double GROWTH_FACTOR = 1.6;

    /** Upper edge of bucket 0; below it response times differ by the network's jitter only. */
    private static final double FIRST_EDGE_MICROS = 2_000;

    private LatencyBuckets() {}

    /** The bucket of a response time, 0 to {@link #COUNT} - 1. */
    public static int indexOf(double responseTimeMicros) {
        double index =
                Math.ceil(
                        Math.log(responseTimeMicros / FIRST_EDGE_MICROS) / Math.log(GROWTH_FACTOR));
        return (int) Math.max(0, Math.min(COUNT - 1, index));
    }

    /** Upper edge of a bucket in microseconds; the last bucket has none. */
    public static double upperEdgeMicros(int bucket) {
        return FIRST_EDGE_MICROS * Math.pow(GROWTH_FACTOR, bucket);
    }
}
