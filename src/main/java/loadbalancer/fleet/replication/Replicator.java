package loadbalancer.fleet.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.fleet.replication.Item.Document;

/**
 * The side of a {@link ReplicatedStore} that communicates with other members: what is sent, what is
 * received, and when. Times are microseconds of the store's monotonic clock; all calls come from
 * its thread.
 */
public final class Replicator {
    /** How often expired items are looked for. */
    private static final long EXPIRY_CHECK_MICROS = 1_000_000;

    /** Leases without a heartbeat until a member's documents and counters are dropped. */
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
     * What differs from a peer.
     *
     * @param datagrams the items of each
     * @param isComplete false if more differs than fitted
     */
    public record Difference(List<List<Item>> datagrams, boolean isComplete) {}

    /**
     * Merges an item from another member; never fails.
     *
     * @return whether it is the first fragment of a document that is missing here, so that its
     *     sender should be asked for what differs
     */
    public boolean receive(long nowMicros, Item item) {
        boolean isIncomplete = receiver.receive(nowMicros, item);
        answerImpersonation(nowMicros);
        return isIncomplete;
    }

    /** The items to gossip in one datagram: own ones first, then the least sent. */
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

    /** Whether items wait to be gossiped; heartbeats alone are only piggybacked. */
    public boolean hasItemsToGossip() {
        return !store.disseminationQueue().isEmpty();
    }

    /** A hash of all retained items; equal at members that retain the same. */
    public long itemsHash() {
        return replicas.buckets().combinedHash();
    }

    /** The hashes of all buckets, to be sent to one peer. */
    public Item.BucketHashes bucketHashes(int step, boolean isComplete) {
        return bucketSync.localHashes(step, isComplete);
    }

    /**
     * The items in buckets that differ from a peer's. Continues where it ended the last time, so
     * that all of a large difference is sent in the end.
     */
    public Difference difference(Item.BucketHashes remote, int maxDatagrams, int datagramBytes) {
        return bucketSync.difference(remote, maxDatagrams, datagramBytes);
    }

    /**
     * Handles a peer's bucket hashes. This member has recovered once a peer has sent all that
     * differs and both agree on flags; documents change too often in a large fleet to be equal.
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
     * Answers an impersonation: enters a later incarnation than the forged one, republishes all
     * documents in it, and claims that the name was impersonated.
     */
    private void answerImpersonation(long nowMicros) {
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

    /** Does what is due: sends heartbeats, expires items, publishes what had to wait. */
    public void wake(long nowMicros) {
        answerImpersonation(nowMicros);
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
            replicas.expireUnheard(nowMicros - expiryMicros, local);
        }
    }

    /** When {@link #wake} is wanted next, in microseconds. */
    public long nextWakeMicros() {
        return Math.min(nextExpiryCheckMicros, impersonations.nextWakeMicros());
    }

    /** The number of the last change of the durable state; it rises with each. */
    public long lastDurableChange() {
        return store.durability().lastChange();
    }

    /** The state to persist now, with all changes up to {@link #lastDurableChange}. */
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

    /** All changes up to that number are persisted; publishes what waited for that. */
    public void onPersisted(long nowMicros, long changeNumber) {
        store.durability().onPersisted(changeNumber);
        publishQueued(nowMicros);
    }

    /** How many items are retained. */
    public int itemCount() {
        int[] count = new int[1];
        replicas.forEach((member, replica) -> replica.forEach(item -> count[0]++));
        return count[0];
    }

    /** How many bytes they take, with those of incomplete documents. */
    public long itemBytes() {
        long[] bytes = new long[1];
        replicas.forEach((member, replica) -> bytes[0] += replica.bytes());
        return bytes[0];
    }

    /** How many items were rejected, by reason, since the start. */
    public Map<RejectionReason, Long> rejectedCounts() {
        return replicas.rejectedCounts();
    }
}
