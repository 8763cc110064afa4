package loadbalancer.rollout.stage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
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
 * Simulates a network of members that replicate items by gossip. It delays, loses and reorders
 * messages at random and supports partitions. Times are microseconds of a virtual clock.
 */
final class SimulatedNetwork {
    private static final long DEAD_MICROS = 6_000_000;
    private static final long MAX_DELAY_MICROS = 2_000_000;
    private static final int MESSAGES_PER_STEP = 3;

    private record Message(
            long arrivesMicros,
            long number,
            String to,
            String from,
            Map<String, Long> heartbeats,
            List<StoredItem> items) {}

    /** An item with the keys under which nodes store it. */
    private record StoredItem(String key, String topicKey, Item item) {
        static StoredItem of(Item item) {
            String topicKey =
                    item.getClass().getSimpleName()
                            + item.topic()
                            + (item instanceof Counters counters ? "|" + counters.window() : "");
            return new StoredItem(topicKey + "|" + item.member(), topicKey, item);
        }
    }

    final Map<String, Node> nodes = new TreeMap<>();
    final Set<String> contestedNames = new TreeSet<>();

    /** Partition of each member; members without an entry are in partition 0. */
    final Map<String, Integer> partitions = new HashMap<>();

    double lossRatio;
    private final RandomGenerator random;
    private final PriorityQueue<Message> inFlight =
            new PriorityQueue<>(
                    Comparator.comparingLong(Message::arrivesMicros)
                            .thenComparingLong(Message::number));
    private long sent;

    SimulatedNetwork(List<String> names, RandomGenerator random) {
        this.random = random;
        names.forEach(name -> nodes.put(name, new Node(name)));
    }

    boolean areConnected(String one, String other) {
        return partitions.getOrDefault(one, 0).equals(partitions.getOrDefault(other, 0));
    }

    /** Lets each member gossip once and delivers the messages that have arrived. */
    void step(long nowMicros) {
        List<String> names = List.copyOf(nodes.keySet());
        for (Node node : nodes.values()) {
            if (node.isUp) {
                node.heartbeats.merge(node.name, 1L, Long::sum);
                for (int i = 0; i < MESSAGES_PER_STEP; i++) {
                    boolean sendsAll = i == 0 && random.nextInt(8) == 0;
                    String to = names.get(random.nextInt(names.size()));
                    send(nowMicros, node, to, sendsAll);
                }
                node.newItems.subList(0, node.newItems.size() / 3).clear();
            }
        }
        while (!inFlight.isEmpty() && inFlight.peek().arrivesMicros <= nowMicros) {
            Message message = inFlight.poll();
            Node to = nodes.get(message.to);
            if (to.isUp && areConnected(message.from, message.to)) {
                to.receive(nowMicros, message);
            }
        }
    }

    private void send(long nowMicros, Node from, String to, boolean sendsAll) {
        if (random.nextDouble() >= lossRatio && areConnected(from.name, to)) {
            inFlight.add(
                    new Message(
                            nowMicros + random.nextLong(MAX_DELAY_MICROS),
                            sent++,
                            to,
                            from.name,
                            Map.copyOf(from.heartbeats),
                            List.copyOf(sendsAll ? from.itemsByKey.values() : from.newItems)));
        }
    }

    /** The replicated state of one member. */
    final class Node implements SharedState {
        final String name;
        boolean isUp = true;
        private final Map<String, Long> heartbeats = new HashMap<>();
        private final Map<String, Long> heardMicros = new HashMap<>();
        private final Map<String, StoredItem> itemsByKey = new HashMap<>();
        private final Map<String, Map<String, Item>> itemsByTopic = new HashMap<>();
        private final List<StoredItem> newItems = new ArrayList<>();
        private long incarnation = 1;
        private long version;
        private long nowMicros;

        Node(String name) {
            this.name = name;
        }

        /** Starts a new process of this member, which optionally loses the stored items. */
        void restart(boolean losesItems) {
            incarnation++;
            version = 0;
            heardMicros.clear();
            if (losesItems) {
                itemsByKey.clear();
                itemsByTopic.clear();
                newItems.clear();
            }
        }

        private void receive(long now, Message message) {
            nowMicros = now;
            message.heartbeats.forEach(
                    (member, heartbeat) -> {
                        if (heartbeat > heartbeats.getOrDefault(member, 0L)) {
                            heartbeats.put(member, heartbeat);
                            heardMicros.put(member, now);
                        }
                    });
            message.items.forEach(this::merge);
        }

        private void merge(StoredItem received) {
            StoredItem held = itemsByKey.get(received.key);
            if (held == null || isNewer(held.item, received.item)) {
                itemsByKey.put(received.key, received);
                itemsByTopic
                        .computeIfAbsent(received.topicKey, topic -> new HashMap<>())
                        .put(received.item.member(), received.item);
                newItems.add(received);
            }
        }

        /** Compares documents only: flags are permanent and counters are published once. */
        private static boolean isNewer(Item held, Item received) {
            if (!(held instanceof Document old) || !(received instanceof Document other)) {
                return false;
            }
            if (old.incarnation() != other.incarnation()) {
                return old.incarnation() < other.incarnation();
            }
            return old.version() != other.version()
                    ? old.version() < other.version()
                    : Arrays.compare(old.body(), other.body()) < 0;
        }

        @SuppressWarnings("unchecked")
        private <T extends Item> Map<String, T> items(Class<T> type, String topic) {
            return (Map<String, T>)
                    itemsByTopic.getOrDefault(type.getSimpleName() + topic, Map.of());
        }

        /** Removes the counters of an old window. */
        void removeWindow(String topic, long window) {
            String topicKey = Counters.class.getSimpleName() + topic + "|" + window;
            itemsByTopic.remove(topicKey);
            nodes.keySet().forEach(member -> itemsByKey.remove(topicKey + "|" + member));
        }

        @Override
        public String self() {
            return name;
        }

        @Override
        public Set<String> roster() {
            return nodes.keySet();
        }

        @Override
        public boolean isEligibleVoter(String member) {
            return nodes.containsKey(member) && !contestedNames.contains(member);
        }

        @Override
        public boolean isPresent(String member) {
            return member.equals(name) || sinceLastReceivedMicros(nowMicros, member) < DEAD_MICROS;
        }

        @Override
        public void publish(long now, String topic, byte[] body) {
            merge(StoredItem.of(new Document(topic, name, incarnation, ++version, body)));
        }

        @Override
        public Map<String, Document> documents(long now, String topic) {
            nowMicros = now;
            return items(Document.class, topic);
        }

        @Override
        public long sinceLastReceivedMicros(long now, String member) {
            return member.equals(name)
                    ? 0
                    : now - heardMicros.getOrDefault(member, Long.MIN_VALUE / 2);
        }

        @Override
        public void raiseFlag(long now, String topic, byte[] reason) {
            merge(StoredItem.of(new Flag(topic, name, reason)));
        }

        @Override
        public Map<String, Flag> flags(String topic) {
            return items(Flag.class, topic);
        }

        @Override
        public void publishCounters(long now, String topic, long window, long[] values) {
            merge(StoredItem.of(new Counters(topic, name, window, values)));
        }

        @Override
        public Map<String, Counters> counters(String topic, long window) {
            return items(Counters.class, topic + "|" + window);
        }

        @Override
        public void addListener(Listener listener) {
            throw new UnsupportedOperationException("no listeners in this simulation");
        }
    }
}
