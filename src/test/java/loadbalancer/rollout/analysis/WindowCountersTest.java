package loadbalancer.rollout.analysis;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import loadbalancer.rollout.plan.Metric;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

class WindowCountersTest {
    @Test
    void histogramAndSingleResponseTimesUseTheSameBuckets() {
        Histogram times = new Histogram(3);
        long[] expected = new long[LatencyBuckets.COUNT];
        Random random = new Random(2);
        for (int i = 0; i < 5_000; i++) {
            long micros = (long) Math.exp(5 + 12 * random.nextDouble());
            times.recordValue(micros);
            expected[LatencyBuckets.indexOf(micros)]++;
        }
        long[] values =
                WindowCounters.ofClass(WindowCounters.CANARY, new long[] {1, 2, 3, 4, 5}, times);
        long sum = 0;
        for (int i = 0; i < LatencyBuckets.COUNT; i++) {
            long inBucket = values[WindowCounters.bucketIndex(i)];
            assertEquals(expected[i], inBucket, 5, "bucket " + i);
            sum += inBucket;
        }
        assertEquals(5_000, sum);
        assertArrayEquals(new long[] {2, 1, 2, 3, 4, 5}, Arrays.copyOf(values, 6));
        assertEquals(0.9, MetricValues.of(Metric.NOT_SERVED_ON_TIME, values), 1e-12);
        long[] empty =
                WindowCounters.ofClass(WindowCounters.BASELINE, new long[5], new Histogram(3));
        assertEquals(0, empty[WindowCounters.bucketIndex(3)]);
    }

    @Test
    void rejectsImpossibleCounters() {
        assertTrue(WindowCounters.isValid(new long[] {1, 0, 0}, 3));
        assertFalse(WindowCounters.isValid(new long[] {1, 0}, 3));
        assertFalse(WindowCounters.isValid(new long[] {1, -1, 0}, 3));
        assertFalse(WindowCounters.isValid(new long[] {2, Long.MAX_VALUE, 0}, 3));
        assertFalse(WindowCounters.isValid(new long[] {3, 1, 1}, 3), "both cohort bits are set");
    }
}
