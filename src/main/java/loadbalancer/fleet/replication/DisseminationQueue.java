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
 * What is still to be passed on: what is new is sent with {@code 4 log10(n + 1)} datagrams, as
 * Serf's memberlist does, and then no more. Members take turns and each one's least sent comes
 * first, so that one that states something new all the time delays itself and not others. Of a
 * document that is too long for a datagram the first slice goes; who lacks the others asks whom it
 * got that from.
 */
final class DisseminationQueue {
    private static final int FACTOR = 4;

    /** So many that don't fit are looked at before a datagram goes as it is. */
    private static final int MOST_MISFITS = 16;

    /** The name of an item; whatever of that name is held when it is sent is what is sent. */
    private record Name(Class<?> kind, String topic, long window) {}

    private record Waiting(Name name, int sent, long order) {}

    private record Again(String member, Waiting waiting) {}

    private static final class Queue {
        private final TreeSet<Waiting> waiting =
                new TreeSet<>(
                        Comparator.comparingInt(Waiting::sent).thenComparingLong(Waiting::order));
        private final Map<Name, Waiting> byName = new HashMap<>();

        void put(Waiting w) {
            Waiting old = byName.put(w.name, w);
            if (old != null) {
                waiting.remove(old);
            }
            waiting.add(w);
        }

        void remove(Waiting w) {
            waiting.remove(w);
            byName.remove(w.name);
        }

        List<Waiting> first() {
            return waiting.stream().limit(MOST_MISFITS).toList();
        }
    }

    /** Finds what is held. */
    interface Held {
        /** Null if it is not held any more. */
        Item find(Class<?> kind, String topic, String member, long window);
    }

    private final Map<String, Queue> queues = new LinkedHashMap<>();
    private final String self;
    private final Held held;
    private long order;

    DisseminationQueue(String self, Held held) {
        this.self = self;
        this.held = held;
    }

    /** How often each item is passed on in a fleet of that size. */
    static int times(int members) {
        return FACTOR * (int) Math.ceil(Math.log10(members + 1.0));
    }

    /** This one is new here. */
    void add(Item item) {
        long window = item instanceof Item.Tally t ? t.window() : 0;
        Queue queue = queues.computeIfAbsent(item.member(), m -> new Queue());
        Name name = new Name(item.getClass(), item.topic(), window);
        Waiting old = queue.byName.get(name);
        // A newer one takes over its predecessor's place in the order, not a better one.
        queue.put(new Waiting(name, 0, old != null && old.sent == 0 ? old.order : order++));
    }

    boolean isEmpty() {
        return queues.isEmpty();
    }

    /** Adds to a list what goes into so many bytes, nothing twice; returns how many they take. */
    int fill(List<Item> items, int bytes, int members) {
        List<Item> sent = new ArrayList<>();
        List<Again> again = new ArrayList<>();
        // Own statements first, but for half of the room if others wait: they were heard by fewer.
        int left =
                bytes
                        - take(
                                sent,
                                again,
                                self,
                                queues.size() > 1 ? bytes / 2 : bytes,
                                Integer.MAX_VALUE);
        Deque<String> turns = new ArrayDeque<>(queues.keySet());
        int misfits = 0;
        while (!turns.isEmpty() && misfits < MOST_MISFITS && left > 0) {
            String member = turns.poll();
            if (!member.equals(self)) {
                int taken = take(sent, again, member, left, 1);
                left -= taken;
                misfits += taken == 0 ? 1 : 0;
                if (taken > 0) {
                    turns.add(member);
                }
                Queue queue = queues.remove(member);
                if (queue != null) {
                    queues.put(member, queue); // to the end of the line
                }
            }
        }
        int times = times(members);
        for (Again a : again) {
            if (a.waiting.sent + 1 < times) {
                queues.computeIfAbsent(a.member, m -> new Queue())
                        .put(new Waiting(a.waiting.name, a.waiting.sent + 1, order++));
            }
        }
        items.addAll(sent);
        return bytes - left;
    }

    private int take(List<Item> items, List<Again> again, String member, int bytes, int most) {
        Queue queue = queues.get(member);
        if (queue == null) {
            return 0;
        }
        int taken = 0;
        int count = 0;
        for (Waiting w : queue.first()) {
            if (count == most) {
                break;
            }
            Item item = held.find(w.name.kind, w.name.topic, member, w.name.window);
            if (item == null) {
                queue.remove(w);
                continue;
            }
            Item piece = DocumentFragmenter.slice(item, 0);
            int weight = Limits.weight(piece);
            if (weight <= bytes - taken) {
                items.add(piece);
                count++;
                taken += weight;
                queue.remove(w);
                again.add(new Again(member, w));
            }
        }
        if (queue.waiting.isEmpty()) {
            queues.remove(member);
        }
        return taken;
    }
}
