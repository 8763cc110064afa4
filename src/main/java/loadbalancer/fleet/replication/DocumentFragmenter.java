package loadbalancer.fleet.replication;

import java.util.Arrays;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Fragment;

/** Cuts documents that are too long for a datagram. */
final class DocumentFragmenter {
    private DocumentFragmenter() {}

    /** How many pieces an item travels in. */
    static int count(Item item) {
        return item instanceof Document d && d.body().length > Limits.SLICE
                ? (d.body().length + Limits.SLICE - 1) / Limits.SLICE
                : 1;
    }

    /** One of them; the item itself if it travels whole. */
    static Item slice(Item item, int index) {
        int parts = count(item);
        if (parts == 1) {
            return item;
        }
        Document d = (Document) item;
        int from = index * Limits.SLICE;
        return new Fragment(
                d.topic(),
                d.member(),
                d.incarnation(),
                d.version(),
                HashBuckets.digest(d.body()),
                index,
                parts,
                Arrays.copyOfRange(d.body(), from, Math.min(d.body().length, from + Limits.SLICE)));
    }
}
