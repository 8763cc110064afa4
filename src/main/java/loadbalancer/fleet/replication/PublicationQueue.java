package loadbalancer.fleet.replication;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.fleet.replication.Item.Document;

/**
 * The queue of this member's documents that may not be published yet. Publication waits until this
 * member has recovered the documents of its earlier incarnation and has persisted the current
 * incarnation, which it would otherwise use again after a crash; durable documents also wait until
 * they are persisted themselves. For the thread of {@link ReplicatedStore}; independent of time.
 */
final class PublicationQueue {
    /** A document that may be published now. */
    record Publication(String topic, byte[] body) {}

    /** A body that may be published once its change is persisted; change 0 always is. */
    private record QueuedBody(byte[] body, long changeNumber) {}

    private final Map<String, QueuedBody> queued = new LinkedHashMap<>();
    private final Map<String, Document> recovered = new TreeMap<>();
    private final Map<String, byte[]> durableDocuments = new TreeMap<>();
    private final DurabilityTracker durability;
    private long incarnation;
    private long incarnationChange;
    private boolean hasRecovered;

    PublicationQueue(long incarnation, boolean hasRecovered, DurabilityTracker durability) {
        this.durability = durability;
        this.hasRecovered = hasRecovered;
        enterIncarnation(incarnation);
    }

    long incarnation() {
        return incarnation;
    }

    /** Returns whether this member knows the documents of its earlier incarnations. */
    boolean hasRecovered() {
        return hasRecovered;
    }

    /** Returns the bodies of the documents that must survive a crash, by topic. */
    Map<String, byte[]> durableDocuments() {
        return new TreeMap<>(durableDocuments);
    }

    /** Sets the incarnation for later publications. */
    void enterIncarnation(long next) {
        incarnation = Math.min(next, Item.MAX_VERSION);
        incarnationChange = durability.recordChange();
    }

    /** Returns whether documents may be published in the current incarnation. */
    boolean canPublish() {
        return hasRecovered && durability.isPersisted(incarnationChange);
    }

    /** Queues a document that need not survive a crash, even if an earlier one had to. */
    void add(String topic, byte[] body) {
        if (durableDocuments.remove(topic) != null) {
            durability.recordChange();
        }
        queued.put(topic, new QueuedBody(body, 0));
    }

    /** Queues a document that must survive a crash. */
    void addDurable(String topic, byte[] body) {
        durableDocuments.put(topic, body);
        queued.put(topic, new QueuedBody(body, durability.recordChange()));
    }

    /** Queues a published document again, unless a newer one is queued. */
    void republish(String topic, byte[] body) {
        queued.putIfAbsent(topic, new QueuedBody(body, 0));
    }

    /** Recovers a document that this member published in an earlier incarnation. */
    void recover(Document document) {
        if (document.incarnation() >= incarnation) {
            enterIncarnation(document.incarnation() + 1);
        }
        Document current = recovered.get(document.topic());
        if (current == null || LatticeJoin.replaces(document, current)) {
            recovered.put(document.topic(), document);
        }
    }

    /** Ends the recovery; queues recovered documents unless a newer one is queued. */
    void onRecovered() {
        hasRecovered = true;
        for (Document document : recovered.values()) {
            if (!queued.containsKey(document.topic())) {
                addDurable(document.topic(), document.body());
            }
        }
        recovered.clear();
    }

    /** Returns the number of queued documents. */
    int size() {
        return queued.size();
    }

    /** Returns the bytes of the queued documents. */
    int bytes() {
        return queued.values().stream().mapToInt(entry -> entry.body.length).sum();
    }

    /** Removes and returns the documents that may be published now. */
    List<Publication> poll() {
        List<Publication> publishable = new ArrayList<>();
        if (!canPublish()) {
            return publishable;
        }
        Iterator<Map.Entry<String, QueuedBody>> entries = queued.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, QueuedBody> entry = entries.next();
            if (durability.isPersisted(entry.getValue().changeNumber)) {
                publishable.add(new Publication(entry.getKey(), entry.getValue().body));
                entries.remove();
            }
        }
        return publishable;
    }
}
