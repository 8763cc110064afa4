package loadbalancer.fleet.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The queue of items to gossip: a new item is sent in {@code 4 log10(n + 1)} datagrams, as in
 * memberlist. The queue serves members in round-robin order and sends the least sent item of each
 * first, so that a member with a high publication rate delays only its own items. For a document
 * that is too long for a datagram the first fragment is sent; a receiver pulls the others. For the
 * thread of {@link ReplicatedStore}; independent of time.
 */
final class DisseminationQueue {
    private static final int RETRANSMIT_MULTIPLIER = 4;

    /** Number of items that may not fit before a datagram is considered full. */
    private static final int MAX_SKIPPED_ITEMS = 16;

    /** Identifies an item of a member, whose version is looked up at the time of sending. */
    private record ItemKey(Class<?> kind, String topic, long window) {
        static ItemKey of(Item item) {
            long window = item instanceof Item.Counters counters ? counters.window() : 0;
            return new ItemKey(item.getClass(), item.topic(), window);
        }
    }

    private record QueuedItem(ItemKey key, int transmissions, long order) {}

    private record SentItem(String member, QueuedItem queued) {}

    private static final class MemberQueue {
        private final TreeSet<QueuedItem> leastSentFirst =
                new TreeSet<>(
                        Comparator.comparingInt(QueuedItem::transmissions)
                                .thenComparingLong(QueuedItem::order));
        private final Map<ItemKey, QueuedItem> byKey = new HashMap<>();

        void put(QueuedItem item) {
            QueuedItem old = byKey.put(item.key, item);
            if (old != null) {
                leastSentFirst.remove(old);
            }
            leastSentFirst.add(item);
        }

        void remove(QueuedItem item) {
            leastSentFirst.remove(item);
            byKey.remove(item.key);
        }

        List<QueuedItem> head() {
            return leastSentFirst.stream().limit(MAX_SKIPPED_ITEMS).toList();
        }
    }

    /** Collects the items of one datagram. */
    private static final class Batch {
        private final List<Item> items = new ArrayList<>();
        private final List<SentItem> sent = new ArrayList<>();
        private int bytesLeft;

        Batch(int maxBytes) {
            bytesLeft = maxBytes;
        }
    }

    private final Map<String, MemberQueue> queues = new LinkedHashMap<>();
    private final String localName;
    private final MemberReplicas replicas;
    private long nextOrder;

    DisseminationQueue(String localName, MemberReplicas replicas) {
        this.localName = localName;
        this.replicas = replicas;
    }

    /** Returns in how many datagrams an item is sent in a fleet of that size. */
    static int transmitLimit(int fleetSize) {
        return RETRANSMIT_MULTIPLIER * (int) Math.ceil(Math.log10(fleetSize + 1.0));
    }

    /** Queues an item that is new at this member. */
    void add(Item item) {
        MemberQueue queue = queues.computeIfAbsent(item.member(), member -> new MemberQueue());
        ItemKey key = ItemKey.of(item);
        QueuedItem old = queue.byKey.get(key);
        // A newer version keeps its predecessor's position, so that updates don't skip the queue.
        long order = old != null && old.transmissions == 0 ? old.order : nextOrder++;
        queue.put(new QueuedItem(key, 0, order));
    }

    boolean isEmpty() {
        return queues.isEmpty();
    }

    /** Adds distinct items up to a number of bytes; returns how many bytes they take. */
    int fill(List<Item> items, int maxBytes, int fleetSize) {
        Batch batch = new Batch(maxBytes);
        // Local items first, since fewer members know them; in half of the space if others wait.
        int localBytes = queues.size() > 1 ? maxBytes / 2 : maxBytes;
        take(batch, localName, localBytes, Integer.MAX_VALUE);
        takeRoundRobin(batch);
        requeue(batch.sent, transmitLimit(fleetSize));
        items.addAll(batch.items);
        return maxBytes - batch.bytesLeft;
    }

    private void takeRoundRobin(Batch batch) {
        Deque<String> waitingMembers = new ArrayDeque<>(queues.keySet());
        int skipped = 0;
        while (!waitingMembers.isEmpty() && skipped < MAX_SKIPPED_ITEMS && batch.bytesLeft > 0) {
            String member = waitingMembers.poll();
            if (member.equals(localName)) {
                continue;
            }
            if (take(batch, member, batch.bytesLeft, 1) > 0) {
                waitingMembers.add(member);
            } else {
                skipped++;
            }
            MemberQueue queue = queues.remove(member);
            if (queue != null) {
                queues.put(member, queue); // to the end of the order
            }
        }
    }

    private void requeue(List<SentItem> sent, int transmitLimit) {
        for (SentItem item : sent) {
            QueuedItem queued = item.queued;
            int transmissions = queued.transmissions + 1;
            if (transmissions < transmitLimit) {
                queues.computeIfAbsent(item.member, member -> new MemberQueue())
                        .put(new QueuedItem(queued.key, transmissions, nextOrder++));
            }
        }
    }

    /** Moves items of one member to a batch; returns how many bytes they take. */
    private int take(Batch batch, String member, int maxBytes, int maxItems) {
        MemberQueue queue = queues.get(member);
        if (queue == null) {
            return 0;
        }
        int bytes = 0;
        int count = 0;
        for (QueuedItem queued : queue.head()) {
            if (count == maxItems) {
                break;
            }
            Item piece = firstPiece(member, queued.key);
            int pieceBytes = piece == null ? 0 : ReplicationLimits.encodedBytes(piece);
            if (piece != null && pieceBytes > maxBytes - bytes) {
                continue;
            }
            queue.remove(queued);
            if (piece != null) {
                batch.items.add(piece);
                batch.sent.add(new SentItem(member, queued));
                bytes += pieceBytes;
                count++;
            }
        }
        if (queue.leastSentFirst.isEmpty()) {
            queues.remove(member);
        }
        batch.bytesLeft -= bytes;
        return bytes;
    }

    /** Returns the item or its first fragment; null if the item is no longer retained. */
    private Item firstPiece(String member, ItemKey key) {
        Item item = replicas.find(key.kind, key.topic, member, key.window);
        return item == null ? null : DocumentFragmenter.piece(item, 0);
    }
}
