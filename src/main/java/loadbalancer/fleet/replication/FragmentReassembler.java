package loadbalancer.fleet.replication;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Fragment;

/**
 * Reassembles one member's long documents, at most {@link ReplicationLimits#MAX_REASSEMBLIES} at a
 * time. For the thread of {@link ReplicatedStore}; independent of time.
 */
final class FragmentReassembler {
    private static final class Reassembly {
        private final Fragment first;
        private final byte[][] slices;
        private int missingCount;
        private int bytes;

        Reassembly(Fragment fragment) {
            first = fragment;
            slices = new byte[fragment.fragmentCount()][];
            missingCount = fragment.fragmentCount();
        }

        boolean includes(Fragment fragment) {
            return first.incarnation() == fragment.incarnation()
                    && first.version() == fragment.version()
                    && first.digest() == fragment.digest()
                    && first.fragmentCount() == fragment.fragmentCount();
        }

        /** Returns whether a fragment of another document may replace this reassembly. */
        boolean isReplacedBy(Fragment fragment) {
            return fragment.incarnation() > first.incarnation()
                    || fragment.incarnation() == first.incarnation()
                            && fragment.version() >= first.version();
        }

        byte[] body() {
            byte[] body = new byte[bytes];
            int offset = 0;
            for (byte[] slice : slices) {
                System.arraycopy(slice, 0, body, offset, slice.length);
                offset += slice.length;
            }
            return body;
        }
    }

    private final Map<String, Reassembly> byTopic = new LinkedHashMap<>();
    private boolean hasFailed;

    /** Adds a fragment; returns the document if that completes it, else null. */
    Document add(Fragment fragment) {
        hasFailed = false;
        Reassembly reassembly = findOrStart(fragment);
        if (reassembly == null || reassembly.slices[fragment.index()] != null) {
            return null;
        }
        reassembly.slices[fragment.index()] = fragment.slice();
        reassembly.missingCount--;
        reassembly.bytes += fragment.slice().length;
        if (reassembly.bytes > SharedState.MAX_BODY_BYTES) {
            byTopic.remove(fragment.topic());
            hasFailed = true;
            return null;
        }
        return reassembly.missingCount > 0 ? null : complete(reassembly);
    }

    /** Returns the reassembly of a fragment's document; null if a later document replaced it. */
    private Reassembly findOrStart(Fragment fragment) {
        Reassembly current = byTopic.get(fragment.topic());
        if (current != null && current.includes(fragment)) {
            return current;
        }
        if (current != null && !current.isReplacedBy(fragment)) {
            return null;
        }
        byTopic.remove(fragment.topic());
        if (byTopic.size() == ReplicationLimits.MAX_REASSEMBLIES) {
            Iterator<Reassembly> oldest = byTopic.values().iterator();
            oldest.next();
            oldest.remove();
        }
        Reassembly started = new Reassembly(fragment);
        byTopic.put(fragment.topic(), started);
        return started;
    }

    private Document complete(Reassembly reassembly) {
        Fragment first = reassembly.first;
        byTopic.remove(first.topic());
        byte[] body = reassembly.body();
        hasFailed = HashBuckets.digest(body) != first.digest();
        return hasFailed
                ? null
                : new Document(
                        first.topic(), first.member(), first.incarnation(), first.version(), body);
    }

    /** Returns whether the last fragment made its document too long or its digest wrong. */
    boolean hasFailed() {
        return hasFailed;
    }

    /** Returns the bytes of the fragments of incomplete documents. */
    int bytes() {
        return byTopic.values().stream().mapToInt(reassembly -> reassembly.bytes).sum();
    }
}
