package loadbalancer.fleet.replication;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Fragment;

/** Puts one member's long documents together, {@link Limits#ASSEMBLIES} at a time. */
final class FragmentReassembly {
    private static final class Partial {
        private final Fragment first;
        private final byte[][] slices;
        private int missing;
        private int bytes;

        Partial(Fragment f) {
            first = f;
            slices = new byte[f.parts()][];
            missing = f.parts();
        }

        boolean isOf(Fragment f) {
            return first.incarnation() == f.incarnation()
                    && first.version() == f.version()
                    && first.digest() == f.digest()
                    && first.parts() == f.parts();
        }

        /** Whether a further document's fragment may take this one's place. */
        boolean yieldsTo(Fragment f) {
            return f.incarnation() > first.incarnation()
                    || f.incarnation() == first.incarnation() && f.version() >= first.version();
        }

        byte[] body() {
            byte[] body = new byte[bytes];
            int at = 0;
            for (byte[] slice : slices) {
                System.arraycopy(slice, 0, body, at, slice.length);
                at += slice.length;
            }
            return body;
        }
    }

    private final Map<String, Partial> partials = new LinkedHashMap<>();
    private boolean failed;

    /** The document, once its last slice has come; null until then. */
    Document add(Fragment f) {
        failed = false;
        Partial p = partials.get(f.topic());
        if (p == null || !p.isOf(f)) {
            if (p != null && !p.yieldsTo(f)) {
                return null;
            }
            partials.remove(f.topic());
            if (partials.size() == Limits.ASSEMBLIES) {
                Iterator<Partial> oldest = partials.values().iterator();
                oldest.next();
                oldest.remove();
            }
            p = new Partial(f);
            partials.put(f.topic(), p);
        }
        if (p.slices[f.index()] != null) {
            return null;
        }
        p.slices[f.index()] = f.slice();
        p.missing--;
        p.bytes += f.slice().length;
        if (p.bytes > Shared.LONGEST_BODY) {
            partials.remove(f.topic());
            failed = true;
            return null;
        }
        return p.missing > 0 ? null : whole(p);
    }

    private Document whole(Partial p) {
        partials.remove(p.first.topic());
        byte[] body = p.body();
        failed = HashBuckets.digest(body) != p.first.digest();
        return failed
                ? null
                : new Document(
                        p.first.topic(),
                        p.first.member(),
                        p.first.incarnation(),
                        p.first.version(),
                        body);
    }

    /** Whether the last slice showed that its document can't be had. */
    boolean failed() {
        return failed;
    }

    /** Bytes of slices that wait for the others. */
    int bytes() {
        return partials.values().stream().mapToInt(p -> p.bytes).sum();
    }
}
