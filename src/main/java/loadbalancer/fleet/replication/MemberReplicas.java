package loadbalancer.fleet.replication;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The replicas of all members and the counts of rejected items. For the thread of {@link
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

    /** Returns the replica of a member; null if there is none. */
    MemberReplica get(String member) {
        return byMember.get(member);
    }

    /** Visits all members and their replicas, in the order of names. */
    void forEach(BiConsumer<String, MemberReplica> visitor) {
        byMember.forEach(visitor);
    }

    HashBuckets buckets() {
        return buckets;
    }

    /** Returns or creates the replica of a member; null if there are too many unknown members. */
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

    /** Removes one expired unknown member without flags; returns whether one was removed. */
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

    /** Counts a rejected item, and logs the first one for each reason. */
    void reject(RejectionReason reason, String member) {
        if (rejectedCounts.merge(reason, 1L, Long::sum) == 1) {
            log.accept(
                    "fleet: rejected an item of "
                            + member
                            + ", limit reached: "
                            + reason.label()
                            + "; further rejections for this reason are only counted");
        }
    }

    Map<RejectionReason, Long> rejectedCounts() {
        return new EnumMap<>(rejectedCounts);
    }

    /** Expires members without a new item since the given time, except for the local one. */
    void expireInactive(long beforeMicros, MemberReplica local) {
        for (MemberReplica replica : byMember.values()) {
            if (replica != local
                    && !replica.isExpired()
                    && replica.lastReceivedMicros() < beforeMicros) {
                replica.expire();
            }
        }
    }

    /** Returns the current item of a member; null if it is no longer retained. */
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
