package loadbalancer.fleet.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Document;

/**
 * The part of a {@link ReplicatedStore} that communicates with other members: it selects the items
 * to send, merges received ones, and runs the timers. Times are microseconds of the store's
 * monotonic clock; all calls come from its thread.
 */
public final class Replicator {
    /** Interval between checks for expired items. */
    private static final long EXPIRY_CHECK_MICROS = 1_000_000;

    /** Number of leases without a new item after which a member's items are dropped. */
    private static final int LEASES_UNTIL_EXPIRY = 2;

    private final ReplicatedStore store;
    private final MemberReplicas replicas;
    private final MemberReplica local;
    private final ItemReceiver receiver;
    private final PublicationQueue publications;
    private final ImpersonationDetector impersonations;
    private final BucketSync bucketSync;
    private long version;
    private long nextHeartbeatMicros = Long.MIN_VALUE;
    private long nextExpiryCheckMicros = Long.MIN_VALUE;

    Replicator(ReplicatedStore store, ItemReceiver receiver, ImpersonationDetector impersonations) {
        this.store = store;
        this.replicas = store.replicas();
        this.local = store.local();
        this.receiver = receiver;
        this.publications = store.publications();
        this.impersonations = impersonations;
        this.bucketSync = new BucketSync(store.self(), replicas);
    }

    /**
     * The items that differ from a peer's.
     *
     * @param datagrams the items of each datagram
     * @param isComplete false if further items differ, which did not fit
     */
    public record Difference(List<List<Item>> datagrams, boolean isComplete) {}

    /**
     * Merges an item from another member; rejects an invalid one instead of throwing.
     *
     * @return whether the item is the first fragment of a document that this member lacks, so that
     *     the caller should request the differing items from its sender
     */
    public boolean receive(long nowMicros, Item item) {
        boolean isIncomplete = receiver.receive(nowMicros, item);
        respondToImpersonation(nowMicros);
        return isIncomplete;
    }

    /** Returns the items to gossip in one datagram: own ones first, then the least sent. */
    public List<Item> nextItems(int maxBytes) {
        List<Item> items = new ArrayList<>();
        Set<String> heartbeatsIncluded = new HashSet<>();
        HeartbeatQueue heartbeats = receiver.heartbeatQueue();
        int reservedBytes = HeartbeatQueue.reservedBytes(maxBytes);
        int bytesLeft = maxBytes - heartbeats.fill(items, reservedBytes, heartbeatsIncluded);
        bytesLeft -= store.disseminationQueue().fill(items, bytesLeft, store.fleetSize());
        heartbeats.fill(items, bytesLeft, heartbeatsIncluded);
        return items;
    }

    /** Returns whether items other than heartbeats, which are only piggybacked, are queued. */
    public boolean hasItemsToGossip() {
        return !store.disseminationQueue().isEmpty();
    }

    /** Returns a hash of all retained items; equal at members that retain the same items. */
    public long itemsHash() {
        return replicas.buckets().combinedHash();
    }

    /** Returns the hashes of all buckets, to be sent to one peer. */
    public Item.BucketHashes bucketHashes(int step, boolean isComplete) {
        return bucketSync.localHashes(step, isComplete);
    }

    /**
     * Returns the items of buckets that differ from a peer's. Each call continues where the last
     * one ended, so that repeated calls cover a large difference.
     */
    public Difference difference(Item.BucketHashes remote, int maxDatagrams, int datagramBytes) {
        return bucketSync.difference(remote, maxDatagrams, datagramBytes);
    }

    /**
     * Handles a peer's bucket hashes. This member has recovered once a peer has sent all items that
     * differ and the flags of both are equal. Equal documents are not required, since documents
     * change too often in a large fleet.
     */
    public void onBucketHashes(long nowMicros, Item.BucketHashes remote) {
        boolean isCompleteResponse = remote.step() > 0 && remote.isComplete();
        if (!publications.hasRecovered()
                && isCompleteResponse
                && HashBuckets.haveSameFlags(remote.hashes(), replicas.buckets().hashes())) {
            publications.onRecovered();
            publishQueued(nowMicros);
        }
    }

    /** Publishes the queued documents that may be published now. */
    void publishQueued(long nowMicros) {
        for (PublicationQueue.Publication publication : publications.poll()) {
            Document document =
                    new Document(
                            publication.topic(),
                            store.self(),
                            publications.incarnation(),
                            ++version,
                            publication.body());
            receiver.merge(nowMicros, local, document);
        }
    }

    /**
     * Responds to an impersonation if that is due: enters a later incarnation than the forged one,
     * republishes all documents in it, and claims that the name was impersonated.
     */
    private void respondToImpersonation(long nowMicros) {
        long forgedIncarnation = impersonations.pollForgedIncarnation(nowMicros);
        if (forgedIncarnation >= 0) {
            publications.enterIncarnation(
                    Math.max(forgedIncarnation, publications.incarnation()) + 1);
            for (Document document : local.documents()) {
                publications.republish(document.topic(), document.body());
            }
            receiver.merge(
                    nowMicros,
                    local,
                    ImpersonationClaim.flag(store.self(), publications.incarnation()));
            nextHeartbeatMicros = nowMicros;
            publishQueued(nowMicros);
        }
    }

    /** Runs the timers that are due: heartbeats, expiry and queued publications. */
    public void wake(long nowMicros) {
        respondToImpersonation(nowMicros);
        publishQueued(nowMicros);
        if (publications.canPublish() && nowMicros >= nextHeartbeatMicros) {
            long incarnation = publications.incarnation();
            long count = local.heartbeatCount(incarnation) + 1;
            receiver.merge(nowMicros, local, Heartbeat.of(store.self(), incarnation, count));
            nextHeartbeatMicros = nowMicros + Heartbeat.intervalMicros(store.fleetSize());
        }
        if (nowMicros >= nextExpiryCheckMicros) {
            nextExpiryCheckMicros = nowMicros + EXPIRY_CHECK_MICROS;
            long expiryMicros = LEASES_UNTIL_EXPIRY * store.leaseMicros();
            replicas.expireInactive(nowMicros - expiryMicros, local);
        }
    }

    /** Returns when to call {@link #wake} next, in microseconds. */
    public long nextWakeMicros() {
        return Math.min(nextExpiryCheckMicros, impersonations.nextWakeMicros());
    }

    /** Returns the number of the last change of the durable state, from 1; 0 if there was none. */
    public long lastDurableChange() {
        return store.durability().lastChange();
    }

    /** Returns the state to persist, with all changes up to {@link #lastDurableChange}. */
    public DurableMemberState durableState() {
        List<Item.Flag> flags = new ArrayList<>();
        replicas.forEach(
                (member, replica) -> {
                    if (store.roster().contains(member)) {
                        flags.addAll(replica.flags());
                    }
                });
        return new DurableMemberState(
                publications.incarnation(),
                publications.durableDocuments(),
                flags,
                store.records().snapshot());
    }

    /** Records that all changes up to that number are persisted; publishes waiting documents. */
    public void onPersisted(long nowMicros, long changeNumber) {
        store.durability().onPersisted(changeNumber);
        publishQueued(nowMicros);
    }

    /** Returns the number of retained items. */
    public int itemCount() {
        int[] count = new int[1];
        replicas.forEach((member, replica) -> replica.forEach(item -> count[0]++));
        return count[0];
    }

    /** Returns the bytes of retained items, except flags, and of incomplete documents. */
    public long itemBytes() {
        long[] bytes = new long[1];
        replicas.forEach((member, replica) -> bytes[0] += replica.bytes());
        return bytes[0];
    }

    /** Returns the number of rejected items since the start, by reason. */
    public Map<RejectionReason, Long> rejectedCounts() {
        return replicas.rejectedCounts();
    }
}
