package loadbalancer.fleet.replication;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Heartbeats that are still to be passed on, the latest of each member in order of arrival. They
 * are piggybacked and have a reserved part of each datagram, so that no flood of other items delays
 * them. For the thread of {@link ReplicatedStore}; knows no time.
 */
final class HeartbeatQueue {
    /** A quarter of a datagram's space is reserved for heartbeats. */
    private static final int RESERVED_DIVISOR = 4;

    /** How often each member passes on a heartbeat. */
    private static final int TRANSMIT_LIMIT = 3;

    private final Map<String, Integer> transmissionsByMember = new LinkedHashMap<>();
    private final MemberReplicas replicas;

    HeartbeatQueue(MemberReplicas replicas) {
        this.replicas = replicas;
    }

    /** Queues a member's latest heartbeat; one that is queued keeps its place. */
    void add(String member) {
        transmissionsByMember.put(member, 0);
    }

    /**
     * Adds heartbeats of members that are not among the included ones yet; returns their bytes.
     *
     * @param included gains the members whose heartbeats were added
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

    /** The bytes of a datagram that are reserved for heartbeats. */
    static int reservedBytes(int datagramBytes) {
        return datagramBytes / RESERVED_DIVISOR;
    }
}
