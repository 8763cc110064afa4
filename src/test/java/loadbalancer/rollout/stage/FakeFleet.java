package loadbalancer.rollout.stage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.SharedState;

/**
 * Members that share over a network which delays, loses, reorders and parts them, by chance handed
 * in.
 */
final class FakeFleet {
    private static final long DEAD_US = 6_000_000;
    private static final long LONGEST_DELAY_US = 2_000_000;

    private record Bundle(
            long at,
            long number,
            String to,
            String from,
            Map<String, Long> beats,
            List<Packed> items) {}

    /** An item with the places that it has in each store. */
    private record Packed(String place, String topic, Item item) {
        static Packed of(Item item) {
            String topic =
                    item.getClass().getSimpleName()
                            + item.topic()
                            + (item instanceof Counters t ? "|" + t.window() : "");
            return new Packed(topic + "|" + item.member(), topic, item);
        }
    }

    final Map<String, Link> links = new TreeMap<>();
    final Set<String> contested = new TreeSet<>();

    /** Side of each member in a partition. */
    final Map<String, Integer> sides = new HashMap<>();

    double loss;
    private final RandomGenerator random;
    private final PriorityQueue<Bundle> way =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.number, b.number));
    private long sent;

    FakeFleet(List<String> names, RandomGenerator random) {
        this.random = random;
        names.forEach(n -> links.put(n, new Link(n)));
    }

    boolean together(String a, String b) {
        return sides.getOrDefault(a, 0).equals(sides.getOrDefault(b, 0));
    }

    /** Gossips once for each member, and delivers what has arrived by then. */
    void step(long now) {
        List<String> names = List.copyOf(links.keySet());
        for (Link link : links.values()) {
            if (link.up) {
                link.beats.merge(link.name, 1L, Long::sum);
                for (int i = 0; i < 3; i++) {
                    boolean whole = i == 0 && random.nextInt(8) == 0;
                    String to = names.get(random.nextInt(names.size()));
                    if (random.nextDouble() >= loss && together(link.name, to)) {
                        way.add(
                                new Bundle(
                                        now + random.nextLong(LONGEST_DELAY_US),
                                        sent++,
                                        to,
                                        link.name,
                                        Map.copyOf(link.beats),
                                        whole ? link.all() : List.copyOf(link.fresh)));
                    }
                }
                link.fresh.subList(0, link.fresh.size() / 3).clear();
            }
        }
        while (!way.isEmpty() && way.peek().at <= now) {
            Bundle b = way.poll();
            if (links.get(b.to).up && together(b.from, b.to)) {
                links.get(b.to).receive(now, b);
            }
        }
    }

    /** What one member holds. */
    final class Link implements SharedState {
        final String name;
        boolean up = true;
        private final Map<String, Long> beats = new HashMap<>();
        private final Map<String, Long> heard = new HashMap<>();
        private final Map<String, Packed> items = new HashMap<>();
        private final Map<String, Map<String, Item>> byTopic = new HashMap<>();
        private final List<Packed> fresh = new ArrayList<>();
        private long incarnation = 1;
        private long version;
        private long clock;

        Link(String name) {
            this.name = name;
        }

        /** A new process under this name; what was stored outlives it or not. */
        void restart(boolean forgets) {
            incarnation++;
            version = 0;
            heard.clear();
            if (forgets) {
                items.clear();
                byTopic.clear();
                fresh.clear();
            }
        }

        private List<Packed> all() {
            return List.copyOf(items.values());
        }

        private void receive(long now, Bundle bundle) {
            clock = now;
            bundle.beats.forEach(
                    (n, beat) -> {
                        if (beat > beats.getOrDefault(n, 0L)) {
                            beats.put(n, beat);
                            heard.put(n, now);
                        }
                    });
            bundle.items.forEach(this::merge);
        }

        private void merge(Packed packed) {
            Packed held = items.get(packed.place);
            if (held == null || later(held.item, packed.item) != held.item) {
                items.put(packed.place, packed);
                byTopic.computeIfAbsent(packed.topic, t -> new HashMap<>())
                        .put(packed.item.member(), packed.item);
                fresh.add(packed);
            }
        }

        private static Item later(Item held, Item item) {
            if (held instanceof Document a && item instanceof Document b) {
                long order =
                        a.incarnation() != b.incarnation()
                                ? Long.compare(a.incarnation(), b.incarnation())
                                : a.version() != b.version()
                                        ? Long.compare(a.version(), b.version())
                                        : Arrays.compare(a.body(), b.body());
                return order >= 0 ? held : item;
            }
            return held; // flags stay, and each tally is stated once here
        }

        @SuppressWarnings("unchecked")
        private <T extends Item> Map<String, T> on(String place) {
            return (Map<String, T>) byTopic.getOrDefault(place, Map.of());
        }

        /** Old windows go, as they would in service. */
        void forgetBefore(String topic, long window) {
            byTopic.remove("Counters" + topic + "|" + window);
            links.keySet().forEach(n -> items.remove("Counters" + topic + "|" + window + "|" + n));
        }

        @Override
        public String self() {
            return name;
        }

        @Override
        public Set<String> roster() {
            return links.keySet();
        }

        @Override
        public boolean isEligibleVoter(String member) {
            return links.containsKey(member) && !contested.contains(member);
        }

        @Override
        public boolean isAlive(String member) {
            return member.equals(name) || sinceHeardMicros(clock, member) < DEAD_US;
        }

        @Override
        public void publish(long now, String topic, byte[] body) {
            merge(Packed.of(new Document(topic, name, incarnation, ++version, body)));
        }

        @Override
        public Map<String, Document> documents(long now, String topic) {
            clock = now;
            return on("Document" + topic);
        }

        @Override
        public long sinceHeardMicros(long now, String member) {
            return member.equals(name) ? 0 : now - heard.getOrDefault(member, Long.MIN_VALUE / 2);
        }

        @Override
        public void raiseFlag(long now, String topic, byte[] reason) {
            merge(Packed.of(new Flag(topic, name, reason)));
        }

        @Override
        public Map<String, Flag> flags(String topic) {
            return on("Flag" + topic);
        }

        @Override
        public void publishCounters(long now, String topic, long window, long[] values) {
            merge(Packed.of(new Counters(topic, name, window, values)));
        }

        @Override
        public Map<String, Counters> counters(String topic, long window) {
            return on("Counters" + topic + "|" + window);
        }

        @Override
        public void addListener(Listener listener) {
            throw new UnsupportedOperationException("nobody listens here");
        }
    }
}
