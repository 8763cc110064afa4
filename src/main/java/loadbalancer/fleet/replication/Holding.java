package loadbalancer.fleet.replication;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.Item.Tally;

/** What one member has stated, within its own budget. */
final class Holding {
    final Map<String, Document> documents = new TreeMap<>();
    final Map<String, Flag> flags = new TreeMap<>();
    final Map<String, TreeMap<Long, Tally>> tallies = new TreeMap<>();
    final FragmentReassembly assembly = new FragmentReassembly();
    private final int budget;
    private final HashBuckets buckets;
    private int bytes;

    /** The latest heard, and within it the latest beat and version. */
    private long generation;

    private long beat;
    private long version;
    private long heardAt;

    /**
     * Unheard for so long that what it said was dropped; what others still tell of it is as old.
     */
    private boolean silent;

    private RejectionReason why;

    Holding(int budget, HashBuckets buckets, long now) {
        this.budget = budget;
        this.buckets = buckets;
        this.heardAt = now;
    }

    long generation() {
        return generation;
    }

    long beat() {
        return beat;
    }

    /** The latest beat in a generation, 0 if there was none. */
    long beatIn(long ofGeneration) {
        return ofGeneration == generation ? beat : 0;
    }

    long heardAt() {
        return heardAt;
    }

    int bytes() {
        return bytes + assembly.bytes();
    }

    /** Why the last merge refused; null if it didn't. */
    RejectionReason why() {
        return why;
    }

    /** Whether it must be kept although its member has not been heard for long: flags never age. */
    boolean hasFlags() {
        return !flags.isEmpty();
    }

    /** A renewal of all that the member says; whether it is news. */
    boolean beat(long now, long ofGeneration, long count) {
        if (ofGeneration < generation || ofGeneration == generation && count <= beat) {
            return false;
        }
        enter(ofGeneration);
        beat = count;
        heard(now);
        return true;
    }

    /**
     * A later generation voids the documents of the one before: their member no longer says that.
     */
    private void enter(long next) {
        if (next > generation) {
            documents.values().forEach(this::out);
            documents.clear();
            generation = next;
            beat = 0;
            version = 0;
        }
    }

    private void heard(long now) {
        heardAt = now;
        silent = false;
    }

    private void in(Item item) {
        bytes += Limits.weight(item);
        buckets.add(item);
    }

    private void out(Item item) {
        bytes -= Limits.weight(item);
        buckets.remove(item);
    }

    private boolean fits(Item next, Item old) {
        boolean fits =
                bytes + Limits.weight(next) - (old == null ? 0 : Limits.weight(old)) <= budget;
        why = fits ? null : RejectionReason.BYTES;
        return fits;
    }

    private boolean opens(Map<String, ?> topics, String topic, int most) {
        boolean opens = topics.containsKey(topic) || topics.size() < most;
        why = opens ? null : RejectionReason.TOPICS;
        return opens;
    }

    /** Whether this document is news; what is kept then is itself. */
    boolean merge(long now, Document d) {
        why = null;
        if (d.incarnation() < generation
                || silent && d.incarnation() == generation && d.version() <= version) {
            return false;
        }
        enter(d.incarnation());
        Document old = documents.get(d.topic());
        if (old != null && !Merge.later(d, old)
                || !opens(documents, d.topic(), Limits.DOCUMENTS)
                || !fits(d, old)) {
            return false;
        }
        if (old != null) {
            out(old);
        }
        documents.put(d.topic(), d);
        in(d);
        version = Math.max(version, d.version());
        heard(now);
        return true;
    }

    /**
     * Whether this flag, or its reason, is news. Flags have a budget of their own by their number.
     */
    boolean merge(Flag f) {
        why = null;
        Flag old = flags.get(f.topic());
        Flag joined = old == null ? f : Merge.join(old, f);
        if (joined == old
                || !ImpersonationClaim.TOPIC.equals(f.topic())
                        && !opens(flags, f.topic(), Limits.FLAGS)) {
            return false;
        }
        if (old != null) {
            buckets.remove(old);
        }
        flags.put(f.topic(), joined);
        buckets.add(joined);
        return true;
    }

    /** The tally as it is now, if this one is news; else null. */
    Tally merge(long now, Tally t) {
        why = null;
        TreeMap<Long, Tally> windows = tallies.get(t.topic());
        Tally old = windows == null ? null : windows.get(t.window());
        Tally joined = old == null ? t : Merge.join(old, t);
        boolean past =
                windows != null
                        && windows.size() == Limits.WINDOWS
                        && t.window() < windows.firstKey();
        if (silent
                || past
                || old != null && Arrays.equals(joined.values(), old.values())
                || !opens(tallies, t.topic(), Limits.TALLY_TOPICS)
                || !fits(joined, old)) {
            return null;
        }
        windows = tallies.computeIfAbsent(t.topic(), x -> new TreeMap<>());
        if (old != null) {
            out(old);
        }
        windows.put(t.window(), joined);
        in(joined);
        if (windows.size() > Limits.WINDOWS) {
            out(windows.pollFirstEntry().getValue());
        }
        heardAt = now;
        return joined;
    }

    /** Drops all that ages. */
    void age() {
        documents.values().forEach(this::out);
        documents.clear();
        tallies.values().forEach(windows -> windows.values().forEach(this::out));
        tallies.clear();
        silent = true;
    }

    boolean silent() {
        return silent;
    }

    /** All that is held, in an order that is the same as long as nothing changes. */
    void each(Consumer<Item> each) {
        flags.values().forEach(each);
        documents.values().forEach(each);
        tallies.values().forEach(windows -> windows.values().forEach(each));
    }
}
