package loadbalancer.fleet.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * Anti-entropy by bucket hashes: finds the items that differ from a peer's and packs them into
 * datagrams. Used on the thread of {@link ReplicatedStore}; independent of time.
 */
final class BucketSync {
    /** Topic of bucket hashes, part of the wire format. */
    private static final String TOPIC = "fleet/sums";

    private final String localName;
    private final MemberReplicas replicas;

    /** Index of the piece with which the next difference starts. */
    private int cursor;

    BucketSync(String localName, MemberReplicas replicas) {
        this.localName = localName;
        this.replicas = replicas;
    }

    /** Returns the local hashes, to be sent to one peer. */
    Item.BucketHashes localHashes(int step, boolean isComplete) {
        long[] hashes = replicas.buckets().hashes();
        return new Item.BucketHashes(TOPIC, localName, step, isComplete, hashes);
    }

    /** Packs the items of buckets that differ from a peer's into datagrams of limited size. */
    Replicator.Difference difference(
            Item.BucketHashes remote, int maxDatagrams, int datagramBytes) {
        List<Item> differing = differingPieces(remote.hashes());
        List<List<Item>> datagrams = new ArrayList<>();
        int bytesLeft = 0;
        int packed = 0;
        while (packed < differing.size()) {
            Item piece = differing.get((cursor + packed) % differing.size());
            int bytes = ReplicationLimits.encodedBytes(piece);
            if (bytesLeft < bytes) {
                if (datagrams.size() == maxDatagrams) {
                    break;
                }
                datagrams.add(new ArrayList<>());
                bytesLeft = datagramBytes;
            }
            datagrams.get(datagrams.size() - 1).add(piece);
            bytesLeft -= bytes;
            packed++;
        }
        boolean isComplete = packed == differing.size();
        cursor = isComplete ? 0 : (cursor + packed) % differing.size();
        return new Replicator.Difference(datagrams, isComplete);
    }

    private List<Item> differingPieces(long[] remoteHashes) {
        long[] localHashes = replicas.buckets().hashes();
        List<Item> pieces = new ArrayList<>();
        if (remoteHashes.length != localHashes.length) {
            return pieces;
        }
        replicas.forEach(
                (member, replica) ->
                        replica.forEach(
                                item -> {
                                    int bucket = HashBuckets.bucketOf(item);
                                    if (localHashes[bucket] != remoteHashes[bucket]) {
                                        addPieces(pieces, item);
                                    }
                                }));
        return pieces;
    }

    private static void addPieces(List<Item> pieces, Item item) {
        int count = DocumentFragmenter.pieceCount(item);
        for (int i = 0; i < count; i++) {
            pieces.add(DocumentFragmenter.piece(item, i));
        }
    }
}
