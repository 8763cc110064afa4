package loadbalancer.policy.data;

import java.util.HashMap;
import java.util.Map;

/** Counts that others have stated, each with its time. */
public final class RecentCounts {
    private final Map<Integer, long[]> counts = new HashMap<>();

    /** The latest word of one of them. */
    public void put(int from, int count, long now) {
        counts.put(from, new long[] {now, count});
    }

    /** The sum of those younger than {@code span}, each divided by {@code parts}. */
    public double sum(double span, double parts, long now) {
        double sum = 0;
        for (long[] c : counts.values()) {
            sum += now - c[0] < span ? c[1] / parts : 0;
        }
        return sum;
    }
}
