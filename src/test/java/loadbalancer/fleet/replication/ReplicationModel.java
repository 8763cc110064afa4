package loadbalancer.fleet.replication;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;

/**
 * A reference model of the content that a store must retain after a history of items. It applies
 * the documented rules to all items at once. The content maps a key for each item to a text.
 */
final class ReplicationModel {
    private static final int MEMBERS = 4;
    private static final List<String> TOPICS = List.of("a/1", "b/2", "c/3");

    private ReplicationModel() {}

    static List<Item> randomHistory(Random random) {
        List<Item> history = new ArrayList<>();
        for (int i = random.nextInt(150); i >= 0; i--) {
            history.add(randomItem(random));
        }
        return history;
    }

    private static Item randomItem(Random random) {
        String topic = TOPICS.get(random.nextInt(TOPICS.size()));
        String member = "m" + (1 + random.nextInt(MEMBERS - 1));
        byte[] body = new byte[random.nextInt(3)];
        random.nextBytes(body);
        return switch (random.nextInt(4)) {
            case 0 -> new Flag(topic, member, body);
            case 1 ->
                    new Counters(
                            topic,
                            member,
                            random.nextInt(40),
                            random.longs(random.nextInt(4), 0, 9).toArray());
            case 2 -> Heartbeat.of(member, random.nextInt(4), random.nextInt(9));
            default -> new Document(topic, member, random.nextInt(4), 1 + random.nextInt(5), body);
        };
    }

    static boolean isHeartbeat(Item item) {
        return item instanceof Counters counters && Heartbeat.isHeartbeat(counters);
    }

    /** Returns the content that a store must have after these items. */
    static Map<String, String> expectedContent(List<Item> history) {
        Map<String, String> content = new TreeMap<>();
        addDocuments(content, history);
        addFlags(content, history);
        addCounters(content, history);
        return content;
    }

    private static Map<String, Long> latestIncarnations(List<Item> history) {
        Map<String, Long> incarnations = new TreeMap<>();
        for (Item item : history) {
            long incarnation = 0;
            if (item instanceof Document document) {
                incarnation = document.incarnation();
            } else if (item instanceof Counters counters && Heartbeat.isHeartbeat(counters)) {
                incarnation = counters.window();
            }
            incarnations.merge(item.member(), incarnation, Math::max);
        }
        return incarnations;
    }

    private static void addDocuments(Map<String, String> content, List<Item> history) {
        Map<String, Long> incarnations = latestIncarnations(history);
        Map<String, Document> latest = new TreeMap<>();
        for (Item item : history) {
            if (item instanceof Document document
                    && document.incarnation() == incarnations.get(document.member())) {
                latest.merge(name(document), document, ReplicationModel::later);
            }
        }
        latest.values().forEach(document -> content.put(key(document), text(document)));
    }

    private static Document later(Document left, Document right) {
        if (left.version() != right.version()) {
            return left.version() > right.version() ? left : right;
        }
        return Arrays.compareUnsigned(left.body(), right.body()) > 0 ? left : right;
    }

    private static void addFlags(Map<String, String> content, List<Item> history) {
        for (Item item : history) {
            if (item instanceof Flag flag) {
                content.merge(
                        key(flag),
                        text(flag),
                        (left, right) -> left.compareTo(right) > 0 ? left : right);
            }
        }
    }

    private static void addCounters(Map<String, String> content, List<Item> history) {
        Map<String, TreeMap<Long, long[]>> windowsByName = new HashMap<>();
        for (Item item : history) {
            if (item instanceof Counters counters && !Heartbeat.isHeartbeat(counters)) {
                windowsByName
                        .computeIfAbsent(name(counters), name -> new TreeMap<>())
                        .merge(counters.window(), counters.values(), ReplicationModel::maximum);
            }
        }
        windowsByName.forEach(
                (name, windows) ->
                        windows.descendingMap().entrySet().stream()
                                .limit(ReplicationLimits.MAX_WINDOWS)
                                .forEach(
                                        entry ->
                                                content.put(
                                                        "counters " + name + " " + entry.getKey(),
                                                        Arrays.toString(entry.getValue()))));
    }

    private static long[] maximum(long[] left, long[] right) {
        long[] maximum = Arrays.copyOf(left, Math.max(left.length, right.length));
        for (int i = 0; i < right.length; i++) {
            maximum[i] = Math.max(maximum[i], right[i]);
        }
        return maximum;
    }

    /** Returns the actual content of a store. */
    static Map<String, String> content(ReplicatedStore store) {
        Map<String, String> content = new TreeMap<>();
        store.replicas()
                .forEach(
                        (member, replica) ->
                                replica.forEach(item -> content.put(key(item), text(item))));
        return content;
    }

    private static String name(Item item) {
        return item.member() + " " + item.topic();
    }

    private static String key(Item item) {
        if (item instanceof Counters counters) {
            return "counters " + name(item) + " " + counters.window();
        }
        return (item instanceof Flag ? "flag " : "document ") + name(item);
    }

    private static String text(Item item) {
        if (item instanceof Document document) {
            String body = HexFormat.of().formatHex(document.body());
            return document.incarnation() + " " + document.version() + " " + body;
        }
        if (item instanceof Flag flag) {
            return HexFormat.of().formatHex(flag.reason());
        }
        return Arrays.toString(((Counters) item).values());
    }
}
