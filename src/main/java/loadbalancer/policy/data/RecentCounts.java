package loadbalancer.policy.data;

import java.util.HashMap;
import java.util.Map;

/** The last count received from each peer, with the time when it was received. */
public final class RecentCounts {
    private record TimedCount(long receivedAtMicros, long count) {}

    private final Map<Integer, TimedCount> countByPeer = new HashMap<>();

    /** Replaces the count of one peer. */
    public void put(int peer, int count, long nowMicros) {
        countByPeer.put(peer, new TimedCount(nowMicros, count));
    }

    /**
     * Returns the sum of the counts younger than {@code maxAgeMicros}, each divided by {@code
     * divisor}.
     */
    public double sum(double maxAgeMicros, double divisor, long nowMicros) {
        double sum = 0;
        for (TimedCount entry : countByPeer.values()) {
            sum += nowMicros - entry.receivedAtMicros < maxAgeMicros ? entry.count / divisor : 0;
        }
        return sum;
    }
}
