package loadbalancer.fleet.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import loadbalancer.fleet.Company;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.Item.Tally;
import org.junit.jupiter.api.Test;

/** Drawn histories against a model that looks at all statements at once. */
class MergeTest {
    private static final int MEMBERS = 4;
    private static final List<String> TOPICS = List.of("a/1", "b/2", "c/3");

    static Store store(String self, int size) {
        Store store =
                new Store(
                        0,
                        new Store.Identity(self, Company.names(size), 1, false),
                        new Company(self, size),
                        new DurableMemberState(0, Map.of(), List.of(), Map.of()),
                        line -> {});
        return store;
    }

    private static Item draw(Random random) {
        String topic = TOPICS.get(random.nextInt(TOPICS.size()));
        String member = "m" + (1 + random.nextInt(MEMBERS - 1));
        byte[] body = new byte[random.nextInt(3)];
        random.nextBytes(body);
        return switch (random.nextInt(4)) {
            case 0 -> new Flag(topic, member, body);
            case 1 ->
                    new Tally(
                            topic,
                            member,
                            random.nextInt(40),
                            random.longs(random.nextInt(4), 0, 9).toArray());
            case 2 ->
                    new Tally(
                            Heartbeat.TOPIC,
                            member,
                            random.nextInt(4),
                            new long[] {random.nextInt(9)});
            default -> new Document(topic, member, random.nextInt(4), 1 + random.nextInt(5), body);
        };
    }

    /** What must be held, a line an item, by the rules as they are written in the interfaces. */
    private static Map<String, String> model(List<Item> all) {
        Map<String, Long> generations = new TreeMap<>();
        for (Item i : all) {
            long g =
                    i instanceof Document d
                            ? d.incarnation()
                            : i instanceof Tally t && Heartbeat.is(t) ? t.window() : 0;
            generations.merge(i.member(), g, Math::max);
        }
        Map<String, Document> documents = new TreeMap<>();
        Map<String, String> held = new TreeMap<>();
        Map<String, TreeMap<Long, long[]>> tallies = new TreeMap<>();
        for (Item i : all) {
            String name = i.member() + " " + i.topic();
            if (i instanceof Document d && d.incarnation() == generations.get(d.member())) {
                documents.merge(
                        name,
                        d,
                        (a, b) ->
                                a.version() != b.version()
                                        ? a.version() > b.version() ? a : b
                                        : Arrays.compareUnsigned(a.body(), b.body()) > 0 ? a : b);
            } else if (i instanceof Flag f) {
                held.merge("flag " + name, hex(f.reason()), (a, b) -> a.compareTo(b) > 0 ? a : b);
            } else if (i instanceof Tally t && !Heartbeat.is(t)) {
                tallies.computeIfAbsent(name, n -> new TreeMap<>())
                        .merge(
                                t.window(),
                                t.values(),
                                (a, b) -> {
                                    long[] max = Arrays.copyOf(a, Math.max(a.length, b.length));
                                    for (int k = 0; k < b.length; k++) {
                                        max[k] = Math.max(max[k], b[k]);
                                    }
                                    return max;
                                });
            }
        }
        documents.forEach(
                (name, d) ->
                        held.put(
                                "doc " + name,
                                d.incarnation() + " " + d.version() + " " + hex(d.body())));
        tallies.forEach(
                (name, windows) ->
                        windows.descendingMap().entrySet().stream()
                                .limit(Limits.WINDOWS)
                                .forEach(
                                        e ->
                                                held.put(
                                                        "tally " + name + " " + e.getKey(),
                                                        Arrays.toString(e.getValue()))));
        return held;
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static Map<String, String> held(Store store) {
        Map<String, String> held = new TreeMap<>();
        store.holdings()
                .byMember
                .forEach(
                        (member, holding) ->
                                holding.each(
                                        i -> {
                                            String name = i.member() + " " + i.topic();
                                            if (i instanceof Document d) {
                                                held.put(
                                                        "doc " + name,
                                                        d.incarnation()
                                                                + " "
                                                                + d.version()
                                                                + " "
                                                                + hex(d.body()));
                                            } else if (i instanceof Flag f) {
                                                held.put("flag " + name, hex(f.reason()));
                                            } else if (i instanceof Tally t) {
                                                held.put(
                                                        "tally " + name + " " + t.window(),
                                                        Arrays.toString(t.values()));
                                            }
                                        }));
        return held;
    }

    private static List<Item> history(Random random) {
        List<Item> all = new ArrayList<>();
        for (int i = random.nextInt(150); i >= 0; i--) {
            all.add(draw(random));
        }
        return all;
    }

    @Test
    void whatIsHeldFollowsFromWhatWasHeardAndNotFromItsOrderOrRepetition() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            List<Item> all = history(random);
            Map<String, String> expected = model(all);
            List<Item> told = new ArrayList<>(all);
            told.addAll(all.subList(0, all.size() / 2));
            long hash = 0;
            for (int order = 0; order < 3; order++) {
                Store store = store("m0", MEMBERS);
                Collections.shuffle(told, random);
                told.forEach(i -> store.exchange().merge(1, i));
                assertEquals(expected, held(store), "seed " + seed);
                assertTrue(order == 0 || hash == store.exchange().hash(1), "seed " + seed);
                hash = store.exchange().hash(1);
            }
        }
    }

    @Test
    void twoThatHeardDifferentPartsAgreeAfterAComparisonHoweverOftenItIsCutShort() {
        for (int seed = 0; seed < 100; seed++) {
            Random random = new Random(seed);
            List<Item> all = history(random);
            // Beats aren't compared: both hear the last ones.
            Map<Boolean, List<Item>> parts =
                    new TreeMap<>(Map.of(true, new ArrayList<>(), false, new ArrayList<>()));
            all.forEach(
                    i ->
                            parts.forEach(
                                    (x, part) -> {
                                        if (i instanceof Tally t && Heartbeat.is(t)
                                                || random.nextInt(3) > 0) {
                                            part.add(i);
                                        }
                                    }));
            Store a = store("m0", MEMBERS);
            Store b = store("m0", MEMBERS);
            parts.get(true).forEach(i -> a.exchange().merge(1, i));
            parts.get(false).forEach(i -> b.exchange().merge(1, i));
            for (int round = 0; a.exchange().hash(1) != b.exchange().hash(1); round++) {
                assertTrue(round < 200, "seed " + seed);
                pull(a, b);
                pull(b, a);
            }
            List<Item> heard = new ArrayList<>(parts.get(true));
            heard.addAll(parts.get(false));
            assertEquals(model(heard), held(a), "seed " + seed);
            assertEquals(held(a), held(b));
        }
    }

    private static void pull(Store from, Store to) {
        Exchange.Difference d = from.exchange().difference(to.exchange().sums(0, true), 1, 200);
        assertTrue(d.datagrams().size() <= 1);
        d.datagrams()
                .forEach(
                        items -> {
                            assertTrue(items.stream().mapToInt(Limits::weight).sum() <= 200);
                            items.forEach(i -> to.exchange().merge(1, i));
                        });
    }

    /** Whatever comes before or after it, a later life of its member and its long silence too. */
    @Test
    void aHaltStandsForEver() {
        Flag halt = new Flag("rollout/halt", "m1", new byte[] {1});
        for (int seed = 0; seed < 100; seed++) {
            Random random = new Random(seed);
            List<Item> all = history(random);
            all.add(random.nextInt(all.size()), halt);
            Store store = store("m0", MEMBERS);
            long now = 0;
            for (Item i : all) {
                now += random.nextInt(30_000_000);
                store.exchange().merge(now, i);
                store.exchange().wake(now);
            }
            store.exchange().wake(now + 3_600_000_000L);
            assertEquals(1, store.raised("rollout/halt").size());
            assertTrue(
                    store.exchange().memoir().flags().stream()
                            .anyMatch(f -> f.topic().equals("rollout/halt")));
        }
    }
}
