package loadbalancer.fleet.replication;

import java.util.Arrays;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Fragment;

/** Splits documents that are too long for a datagram into fragments. Stateless. */
final class DocumentFragmenter {
    private DocumentFragmenter() {}

    /** Returns in how many pieces an item is sent; 1 unless it is a long document. */
    static int pieceCount(Item item) {
        int sliceBytes = ReplicationLimits.SLICE_BYTES;
        return item instanceof Document document && document.body().length > sliceBytes
                ? (document.body().length + sliceBytes - 1) / sliceBytes
                : 1;
    }

    /** Returns one piece of an item; the item itself if it is sent as a whole. */
    static Item piece(Item item, int index) {
        int count = pieceCount(item);
        if (count == 1) {
            return item;
        }
        Document document = (Document) item;
        byte[] body = document.body();
        int from = index * ReplicationLimits.SLICE_BYTES;
        int to = Math.min(body.length, from + ReplicationLimits.SLICE_BYTES);
        return new Fragment(
                document.topic(),
                document.member(),
                document.incarnation(),
                document.version(),
                HashBuckets.digest(body),
                index,
                count,
                Arrays.copyOfRange(body, from, to));
    }
}
