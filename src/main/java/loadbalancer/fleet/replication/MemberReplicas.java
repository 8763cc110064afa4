package loadbalancer.fleet.replication;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The replicas of all members, and counts of rejected items. For the thread of {@link
 * ReplicatedStore}; times are microseconds of its monotonic clock.
 */
final class MemberReplicas {
    private final Map<String, MemberReplica> byMember = new TreeMap<>();
    private final HashBuckets buckets = new HashBuckets();
    private final Map<RejectionReason, Long> rejectedCounts = new EnumMap<>(RejectionReason.class);
    private final Set<String> roster;
    private final Consumer<String> log;
    private int unknownMembers;

    MemberReplicas(Set<String> roster, Consumer<String> log) {
        this.roster = roster;
        this.log = log;
    }

    /** The replica of a member; null if there is none. */
    MemberReplica get(String member) {
        return byMember.get(member);
    }

    /** Visits all members by name with their replicas. */
    void forEach(BiConsumer<String, MemberReplica> visitor) {
        byMember.forEach(visitor);
    }

    HashBuckets buckets() {
        return buckets;
    }

    /** The replica of a member, created if needed; null beyond the limit of unknown members. */
    MemberReplica getOrCreate(long nowMicros, String member) {
        MemberReplica existing = byMember.get(member);
        if (existing != null) {
            return existing;
        }
        boolean isOnRoster = roster.contains(member);
        if (!isOnRoster
                && unknownMembers >= ReplicationLimits.MAX_UNKNOWN_MEMBERS
                && !evictUnknownMember()) {
            reject(RejectionReason.UNKNOWN_MEMBERS, member);
            return null;
        }
        unknownMembers += isOnRoster ? 0 : 1;
        int budgetBytes =
                isOnRoster
                        ? ReplicationLimits.budgetBytes(roster.size())
                        : ReplicationLimits.unknownMemberBudgetBytes();
        MemberReplica created = new MemberReplica(budgetBytes, buckets, nowMicros);
        byMember.put(member, created);
        return created;
    }

    /** Removes an expired unknown member without flags; returns whether there was one. */
    private boolean evictUnknownMember() {
        for (Map.Entry<String, MemberReplica> entry : byMember.entrySet()) {
            MemberReplica replica = entry.getValue();
            if (!roster.contains(entry.getKey())
                    && replica.isExpired()
                    && replica.flags().isEmpty()) {
                byMember.remove(entry.getKey());
                unknownMembers--;
                return true;
            }
        }
        return false;
    }

    /** Counts a rejected item; logs the first one for each reason. */
    void reject(RejectionReason reason, String member) {
        if (rejectedCounts.merge(reason, 1L, Long::sum) == 1) {
            log.accept(
                    "fleet: rejected an item of "
                            + member
                            + ", limit reached: "
                            + reason.label()
                            + "; further ones are only counted");
        }
    }

    Map<RejectionReason, Long> rejectedCounts() {
        return new EnumMap<>(rejectedCounts);
    }

    /** Expires the members that were last heard before a time, except for the local one. */
    void expireUnheard(long beforeMicros, MemberReplica local) {
        for (MemberReplica replica : byMember.values()) {
            if (replica != local
                    && !replica.isExpired()
                    && replica.lastHeardMicros() < beforeMicros) {
                replica.expire();
            }
        }
    }

    /** The current item of a member; null if it is no longer retained. */
    Item find(Class<?> kind, String topic, String member, long window) {
        MemberReplica replica = byMember.get(member);
        if (replica == null) {
            return null;
        }
        if (kind == Item.Document.class) {
            return replica.document(topic);
        }
        if (kind == Item.Flag.class) {
            return replica.flag(topic);
        }
        return replica.counters(topic, window);
    }
}
