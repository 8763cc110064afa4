package loadbalancer.fleet.replication;

import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;

/**
 * The items that one member has published, limited by that member's budget of bytes. For the thread
 * of {@link ReplicatedStore}; times are microseconds of its monotonic clock.
 */
final class MemberReplica {
    private final Map<String, Document> documents = new TreeMap<>();
    private final Map<String, Flag> flags = new TreeMap<>();
    private final Map<String, TreeMap<Long, Counters>> counters = new TreeMap<>();
    private final FragmentReassembler reassembler = new FragmentReassembler();
    private final int budgetBytes;
    private final HashBuckets buckets;
    private int retainedBytes;

    /** The latest incarnation that was received. */
    private long incarnation;

    /** The latest heartbeat within the incarnation. */
    private long heartbeatCount;

    /** The latest version within the incarnation. */
    private long version;

    /** Time at which a new heartbeat, document or counter was last received. */
    private long lastReceivedMicros;

    /** Whether the items were dropped because none was new for long; older ones are ignored. */
    private boolean isExpired;

    private RejectionReason lastRejection;

    MemberReplica(int budgetBytes, HashBuckets buckets, long nowMicros) {
        this.budgetBytes = budgetBytes;
        this.buckets = buckets;
        this.lastReceivedMicros = nowMicros;
    }

    long incarnation() {
        return incarnation;
    }

    /** Returns the count of the latest heartbeat in an incarnation; 0 if there was none. */
    long heartbeatCount(long ofIncarnation) {
        return ofIncarnation == incarnation ? heartbeatCount : 0;
    }

    /** Returns the latest heartbeat as an item of that member. */
    Counters heartbeat(String member) {
        return Heartbeat.of(member, incarnation, heartbeatCount);
    }

    long lastReceivedMicros() {
        return lastReceivedMicros;
    }

    /** Returns the bytes of all items except flags, and of incomplete documents. */
    int bytes() {
        return retainedBytes + reassembler.bytes();
    }

    FragmentReassembler reassembler() {
        return reassembler;
    }

    /** Returns why the last merge rejected its item; null if it did not. */
    RejectionReason lastRejection() {
        return lastRejection;
    }

    Collection<Document> documents() {
        return documents.values();
    }

    int documentCount() {
        return documents.size();
    }

    /** Returns the document on a topic, or null. */
    Document document(String topic) {
        return documents.get(topic);
    }

    Collection<Flag> flags() {
        return flags.values();
    }

    /** Returns the flag on a topic, or null. */
    Flag flag(String topic) {
        return flags.get(topic);
    }

    /** Returns the counters of a window, or null. */
    Counters counters(String topic, long window) {
        Map<Long, Counters> windows = counters.get(topic);
        return windows == null ? null : windows.get(window);
    }

    /** Renews the lease if the heartbeat is new; returns whether it is. */
    boolean mergeHeartbeat(long nowMicros, long ofIncarnation, long count) {
        if (ofIncarnation < incarnation
                || ofIncarnation == incarnation && count <= heartbeatCount) {
            return false;
        }
        enterIncarnation(ofIncarnation);
        heartbeatCount = count;
        onReceived(nowMicros);
        return true;
    }

    /** Merges a document; returns whether it is new and was retained. */
    boolean mergeDocument(long nowMicros, Document document) {
        lastRejection = null;
        if (document.incarnation() < incarnation
                || isExpired
                        && document.incarnation() == incarnation
                        && document.version() <= version) {
            return false;
        }
        enterIncarnation(document.incarnation());
        Document old = documents.get(document.topic());
        if (old != null && !LatticeJoin.replaces(document, old)
                || !allowsTopic(documents, document.topic(), ReplicationLimits.MAX_DOCUMENTS)
                || !allowsBytes(document, old)) {
            return false;
        }
        if (old != null) {
            onRemoved(old);
        }
        documents.put(document.topic(), document);
        onAdded(document);
        version = Math.max(version, document.version());
        onReceived(nowMicros);
        return true;
    }

    /**
     * Merges a flag; returns whether the flag or its reason is new and was retained. Flags are
     * limited in number and don't count towards the budget.
     */
    boolean mergeFlag(Flag flag) {
        lastRejection = null;
        Flag old = flags.get(flag.topic());
        Flag joined = old == null ? flag : LatticeJoin.join(old, flag);
        if (joined == old
                || !ImpersonationClaim.TOPIC.equals(flag.topic())
                        && !allowsTopic(flags, flag.topic(), ReplicationLimits.MAX_FLAGS)) {
            return false;
        }
        if (old != null) {
            buckets.remove(old);
        }
        flags.put(flag.topic(), joined);
        buckets.add(joined);
        return true;
    }

    /** Merges counters; returns the joined ones if they are new and were retained, else null. */
    Counters mergeCounters(long nowMicros, Counters received) {
        lastRejection = null;
        String topic = received.topic();
        Counters old = counters(topic, received.window());
        Counters joined = old == null ? received : LatticeJoin.join(old, received);
        if (isExpired
                || isBeforeRetainedWindows(received)
                || old != null && Arrays.equals(joined.values(), old.values())
                || !allowsTopic(counters, topic, ReplicationLimits.MAX_COUNTER_TOPICS)
                || !allowsBytes(joined, old)) {
            return null;
        }
        TreeMap<Long, Counters> windows =
                counters.computeIfAbsent(topic, newTopic -> new TreeMap<>());
        if (old != null) {
            onRemoved(old);
        }
        windows.put(received.window(), joined);
        onAdded(joined);
        if (windows.size() > ReplicationLimits.MAX_WINDOWS) {
            onRemoved(windows.pollFirstEntry().getValue());
        }
        lastReceivedMicros = nowMicros;
        return joined;
    }

    private boolean isBeforeRetainedWindows(Counters received) {
        TreeMap<Long, Counters> windows = counters.get(received.topic());
        return windows != null
                && windows.size() == ReplicationLimits.MAX_WINDOWS
                && received.window() < windows.firstKey();
    }

    /** Drops the documents of earlier incarnations, which the member no longer publishes. */
    private void enterIncarnation(long next) {
        if (next > incarnation) {
            documents.values().forEach(this::onRemoved);
            documents.clear();
            incarnation = next;
            heartbeatCount = 0;
            version = 0;
        }
    }

    private void onReceived(long nowMicros) {
        lastReceivedMicros = nowMicros;
        isExpired = false;
    }

    private void onAdded(Item item) {
        retainedBytes += ReplicationLimits.encodedBytes(item);
        buckets.add(item);
    }

    private void onRemoved(Item item) {
        retainedBytes -= ReplicationLimits.encodedBytes(item);
        buckets.remove(item);
    }

    private boolean allowsBytes(Item next, Item old) {
        int oldBytes = old == null ? 0 : ReplicationLimits.encodedBytes(old);
        int bytes = retainedBytes + ReplicationLimits.encodedBytes(next) - oldBytes;
        boolean isAllowed = bytes <= budgetBytes;
        lastRejection = isAllowed ? null : RejectionReason.BYTES;
        return isAllowed;
    }

    private boolean allowsTopic(Map<String, ?> byTopic, String topic, int maxTopics) {
        boolean isAllowed = byTopic.containsKey(topic) || byTopic.size() < maxTopics;
        lastRejection = isAllowed ? null : RejectionReason.TOPICS;
        return isAllowed;
    }

    /** Drops all items except flags, which never expire. */
    void expire() {
        documents.values().forEach(this::onRemoved);
        documents.clear();
        counters.values().forEach(windows -> windows.values().forEach(this::onRemoved));
        counters.clear();
        isExpired = true;
    }

    boolean isExpired() {
        return isExpired;
    }

    /** Visits all items, in the same order as long as no item changes. */
    void forEach(Consumer<Item> visitor) {
        flags.values().forEach(visitor);
        documents.values().forEach(visitor);
        counters.values().forEach(windows -> windows.values().forEach(visitor));
    }
}
