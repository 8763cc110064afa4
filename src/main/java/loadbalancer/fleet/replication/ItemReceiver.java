package loadbalancer.fleet.replication;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.Item.Fragment;

/**
 * Merges received items, queues new ones for gossip, and notifies the listeners. For the thread of
 * {@link ReplicatedStore}; times are microseconds of its monotonic clock.
 */
final class ItemReceiver {
    private final MemberReplicas replicas;
    private final DisseminationQueue disseminationQueue;
    private final HeartbeatQueue heartbeatQueue;
    private final MemberReplica local;
    private final PublicationQueue publications;
    private final DurabilityTracker durability;
    private final ImpersonationDetector impersonations;
    private final List<SharedState.Listener> listeners = new ArrayList<>();

    ItemReceiver(
            MemberReplicas replicas,
            DisseminationQueue disseminationQueue,
            MemberReplica local,
            PublicationQueue publications,
            DurabilityTracker durability,
            ImpersonationDetector impersonations) {
        this.replicas = replicas;
        this.disseminationQueue = disseminationQueue;
        this.heartbeatQueue = new HeartbeatQueue(replicas);
        this.local = local;
        this.publications = publications;
        this.durability = durability;
        this.impersonations = impersonations;
    }

    HeartbeatQueue heartbeatQueue() {
        return heartbeatQueue;
    }

    void addListener(SharedState.Listener listener) {
        listeners.add(listener);
    }

    /**
     * Merges an item from another member.
     *
     * @return whether the item is the first fragment of a document that this member lacks
     */
    boolean receive(long nowMicros, Item item) {
        MemberReplica replica =
                item instanceof Item.BucketHashes
                        ? null
                        : replicas.getOrCreate(nowMicros, item.member());
        if (replica == null) {
            return false;
        }
        if (replica == local && mustCheckOwnership(item)) {
            receiveUnderLocalName(item);
            return false;
        }
        if (item instanceof Fragment fragment) {
            return receiveFragment(nowMicros, replica, fragment);
        }
        merge(nowMicros, replica, item);
        return false;
    }

    /**
     * Returns whether an item under the local name must be verified. Flags and counters other than
     * heartbeats are merged whoever sent them.
     */
    private static boolean mustCheckOwnership(Item item) {
        return !(item instanceof Flag)
                && (!(item instanceof Counters counters) || Heartbeat.isHeartbeat(counters));
    }

    private boolean receiveFragment(long nowMicros, MemberReplica replica, Fragment fragment) {
        if (isKnown(replica, fragment)) {
            return false;
        }
        Document complete = replica.reassembler().add(fragment);
        if (complete != null) {
            merge(nowMicros, replica, complete);
        } else if (replica.reassembler().hasFailed()) {
            replicas.reject(RejectionReason.FRAGMENTS, fragment.member());
        }
        return complete == null && fragment.index() == 0;
    }

    private static boolean isKnown(MemberReplica replica, Fragment fragment) {
        if (fragment.incarnation() < replica.incarnation()) {
            return true;
        }
        Document current = replica.document(fragment.topic());
        if (current == null || current.incarnation() != fragment.incarnation()) {
            return current != null && current.incarnation() > fragment.incarnation();
        }
        return current.version() > fragment.version()
                || current.version() == fragment.version()
                        && HashBuckets.digest(current.body()) == fragment.digest();
    }

    /** Merges an item that this member published or that needs no further check. */
    void merge(long nowMicros, MemberReplica replica, Item item) {
        if (item instanceof Counters counters && Heartbeat.isHeartbeat(counters)) {
            if (replica.mergeHeartbeat(nowMicros, counters.window(), Heartbeat.count(counters))) {
                heartbeatQueue.add(counters.member());
            }
            return;
        }
        Item changed = mergeInto(nowMicros, replica, item);
        if (changed != null) {
            onChanged(nowMicros, replica, changed);
        } else if (replica.lastRejection() != null) {
            replicas.reject(replica.lastRejection(), item.member());
        }
    }

    /** Merges an item into its replica; returns the merged item if it is new, else null. */
    private Item mergeInto(long nowMicros, MemberReplica replica, Item item) {
        if (item instanceof Document document) {
            return replica.mergeDocument(nowMicros, document) ? document : null;
        }
        if (item instanceof Flag flag) {
            if (!replica.mergeFlag(flag)) {
                return null;
            }
            durability.recordChange();
            return replica.flag(flag.topic());
        }
        return item instanceof Counters counters
                ? replica.mergeCounters(nowMicros, counters)
                : null;
    }

    private void onChanged(long nowMicros, MemberReplica replica, Item changed) {
        disseminationQueue.add(changed);
        if (replica != local) {
            for (SharedState.Listener listener : listeners) {
                listener.itemChanged(nowMicros, changed);
            }
        }
    }

    /**
     * Handles an item under the local name. Before this member has recovered, the item belongs to
     * an earlier incarnation and is recovered; afterwards it is outdated or forged.
     */
    private void receiveUnderLocalName(Item item) {
        if (publications.hasRecovered()) {
            impersonations.check(item, local, publications.incarnation());
        } else if (item instanceof Document document) {
            publications.recover(document);
        } else if (item instanceof Fragment fragment) {
            Document complete = local.reassembler().add(fragment);
            if (complete != null) {
                publications.recover(complete);
            }
        } else if (item instanceof Counters heartbeat
                && heartbeat.window() >= publications.incarnation()) {
            publications.enterIncarnation(heartbeat.window() + 1);
        }
    }
}
