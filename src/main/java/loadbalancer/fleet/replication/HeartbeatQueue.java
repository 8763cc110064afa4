package loadbalancer.fleet.replication;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The queue of heartbeats to relay, the latest of each member in order of arrival. Heartbeats are
 * piggybacked and have a reserved part of each datagram, so that a flood of other items does not
 * delay them. For the thread of {@link ReplicatedStore}; independent of time.
 */
final class HeartbeatQueue {
    /** Reserves a quarter of a datagram's space for heartbeats. */
    private static final int RESERVED_DIVISOR = 4;

    /** Number of times that each member sends a heartbeat. */
    private static final int TRANSMIT_LIMIT = 3;

    private final Map<String, Integer> transmissionsByMember = new LinkedHashMap<>();
    private final MemberReplicas replicas;

    HeartbeatQueue(MemberReplicas replicas) {
        this.replicas = replicas;
    }

    /** Queues a member's latest heartbeat; a member that is queued keeps its position. */
    void add(String member) {
        transmissionsByMember.put(member, 0);
    }

    /**
     * Adds heartbeats of members that are not included yet; returns how many bytes they take.
     *
     * @param included names of the included members, to which the added ones are added
     */
    int fill(List<Item> items, int maxBytes, Set<String> included) {
        int bytes = 0;
        for (int left = transmissionsByMember.size(); left > 0; left--) {
            String member = transmissionsByMember.keySet().iterator().next();
            MemberReplica replica = replicas.get(member);
            Item heartbeat = replica == null ? null : replica.heartbeat(member);
            int itemBytes = heartbeat == null ? 0 : ReplicationLimits.encodedBytes(heartbeat);
            if (itemBytes > maxBytes - bytes || !included.add(member)) {
                return bytes;
            }
            int transmissions = transmissionsByMember.remove(member) + 1;
            if (heartbeat != null) {
                items.add(heartbeat);
                bytes += itemBytes;
                if (transmissions < TRANSMIT_LIMIT) {
                    transmissionsByMember.put(member, transmissions);
                }
            }
        }
        return bytes;
    }

    /** Returns how many bytes of a datagram are reserved for heartbeats. */
    static int reservedBytes(int datagramBytes) {
        return datagramBytes / RESERVED_DIVISOR;
    }
}
