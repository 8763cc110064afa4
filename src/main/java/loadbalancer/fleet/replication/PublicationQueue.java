package loadbalancer.fleet.replication;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.fleet.replication.Item.Document;

/**
 * Documents of this member that wait until they may be published: not before it has recovered what
 * it published in an earlier incarnation, durable ones not before they are persisted, and none in
 * an incarnation that a crash could make it use again. For the thread of {@link ReplicatedStore};
 * knows no time.
 */
final class PublicationQueue {
    /** A document that may be published now. */
    record Publication(String topic, byte[] body) {}

    /** Waits until its change is persisted; change 0 always is. */
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

    /** Whether this member knows what it published in earlier incarnations. */
    boolean hasRecovered() {
        return hasRecovered;
    }

    /** The documents that must survive a crash, by topic. */
    Map<String, byte[]> durableDocuments() {
        return new TreeMap<>(durableDocuments);
    }

    /** Publishes in that incarnation from now on. */
    void enterIncarnation(long next) {
        incarnation = Math.min(next, Item.MAX_VERSION);
        incarnationChange = durability.recordChange();
    }

    /** Whether the present incarnation may be used. */
    boolean canPublish() {
        return hasRecovered && durability.isPersisted(incarnationChange);
    }

    /** Queues a document; it is no longer durable if it was. */
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

    /** Publishes a document once more, unless a newer one waits. */
    void republish(String topic, byte[] body) {
        queued.putIfAbsent(topic, new QueuedBody(body, 0));
    }

    /** Takes up a document that this member published in an earlier incarnation. */
    void recover(Document document) {
        if (document.incarnation() >= incarnation) {
            enterIncarnation(document.incarnation() + 1);
        }
        Document current = recovered.get(document.topic());
        if (current == null || LatticeJoin.replaces(document, current)) {
            recovered.put(document.topic(), document);
        }
    }

    /** Ends the recovery; publishes what was recovered unless a newer document waits. */
    void onRecovered() {
        hasRecovered = true;
        for (Document document : recovered.values()) {
            if (!queued.containsKey(document.topic())) {
                addDurable(document.topic(), document.body());
            }
        }
        recovered.clear();
    }

    /** How many documents wait. */
    int size() {
        return queued.size();
    }

    /** Bytes of the documents that wait. */
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
