package loadbalancer.fleet.replication;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Heartbeats that are still to be passed on, each member's latest in the order in which they came.
 * They ride on datagrams that go anyway, and have a part of each to themselves, so that no flood of
 * news holds them up.
 */
final class HeartbeatQueue {
    /**
     * Of each datagram's room: 8 heartbeats. Two datagrams a second carry 16 of the 20 a second
     * that are new at the most even then.
     */
    private static final int PART = 4;

    /**
     * Each goes on from each member so often: all but 5 in 100 hear it, and of six in a row all
     * one.
     */
    private static final int TIMES = 3;

    private final Map<String, Integer> sent = new LinkedHashMap<>();
    private final Holdings holdings;

    HeartbeatQueue(Holdings holdings) {
        this.holdings = holdings;
    }

    void add(String member) {
        // One that beats faster than others keeps its place in the line.
        sent.put(member, 0);
    }

    /**
     * Adds heartbeats of members that are not among those yet, in so many bytes; returns how many
     * they take.
     */
    int fill(List<Item> items, int bytes, Set<String> already) {
        int taken = 0;
        for (int most = sent.size(); most > 0; most--) {
            String member = sent.keySet().iterator().next();
            Holding holding = holdings.byMember.get(member);
            Item heartbeat = holding == null ? null : Heartbeat.of(member, holding);
            int weight = heartbeat == null ? 0 : Limits.weight(heartbeat);
            if (weight > bytes - taken || !already.add(member)) {
                return taken; // the line has come round
            }
            int times = sent.remove(member) + 1;
            if (heartbeat != null) {
                items.add(heartbeat);
                taken += weight;
                if (times < TIMES) {
                    sent.put(member, times);
                }
            }
        }
        return taken;
    }

    /** The part of a datagram's room that is theirs. */
    static int part(int bytes) {
        return bytes / PART;
    }
}
