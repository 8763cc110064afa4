package loadbalancer.fleet.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import loadbalancer.fleet.Company;
import loadbalancer.fleet.codec.Items;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.Item.Tally;
import org.junit.jupiter.api.Test;

class SharedStateTest {
    private static final String TOPIC = "calendar/held";
    private static final byte[] R1 = {1};
    private static final byte[] R2 = {2};
    private static final long SECOND = 1_000_000;

    private final List<String> told = new ArrayList<>();
    private final Store store = MergeTest.store("m0", 5);

    private static Document says(String member, long incarnation, long version, byte[] body) {
        return new Document(TOPIC, member, incarnation, version, body);
    }

    private static Store starting(boolean lasting, DurableMemberState memoir, List<String> told) {
        return new Store(
                0,
                new Store.Identity("m0", Company.names(5), 7, lasting),
                new Company("m0", 5),
                memoir,
                told::add);
    }

    private static Tally beat(String member, long generation, long count) {
        return new Tally(Heartbeat.TOPIC, member, generation, new long[] {count});
    }

    /** All that goes out in so many datagrams of 1,000 bytes. */
    private static List<Item> out(Store from, int datagrams) {
        List<Item> out = new ArrayList<>();
        for (int i = 0; i < datagrams; i++) {
            out.addAll(from.exchange().next(0, 1_000));
        }
        return out;
    }

    @Test
    void oneThatFloodsPushesOutNobodyElsesAndHasABoundedPart() {
        store.exchange().merge(0, says("m1", 1, 1, R1));
        Random random = new Random(1);
        for (int i = 0; i < 20_000; i++) {
            String topic = "t/" + random.nextInt(5_000);
            store.exchange()
                    .merge(
                            0,
                            switch (random.nextInt(4)) {
                                case 0 ->
                                        new Document(
                                                topic,
                                                "m2",
                                                1,
                                                i + 1,
                                                new byte[random.nextInt(9_000)]);
                                case 1 -> new Flag(topic, "m2", new byte[256]);
                                case 2 ->
                                        new Item.Fragment(
                                                "f/" + random.nextInt(2),
                                                "m2",
                                                1,
                                                1,
                                                5,
                                                random.nextInt(60),
                                                60,
                                                new byte[1_000]);
                                default -> new Tally(topic, "m2", i, new long[32]);
                            });
            store.exchange().merge(0, new Document("s/1", "stranger" + i, 1, 1, new byte[1_000]));
        }
        store.exchange().merge(0, says("m3", 1, 1, R2));
        assertEquals(Set.of("m1", "m3"), store.said(0, TOPIC).keySet());
        long mine = store.holdings().byMember.get("m2").bytes();
        assertTrue(mine <= Limits.budget(5) + 2 * Shared.LONGEST_BODY, "bytes of one: " + mine);
        assertTrue(
                store.exchange().held()
                        <= 2
                                + Limits.DOCUMENTS
                                + Limits.FLAGS
                                + Limits.TALLY_TOPICS * Limits.WINDOWS
                                + Limits.STRANGERS);
        assertTrue(
                store.exchange().bytes() <= 2L << 20, "bytes of all: " + store.exchange().bytes());
        assertEquals(Set.of(RejectionReason.values()), store.exchange().refused().keySet());
    }

    /** The liar's own statements take turns with those of others, however new they are. */
    @Test
    void oneThatStatesSomethingNewAllTheTimeDelaysItselfOnly() {
        Set<String> out = new HashSet<>();
        for (int i = 1; i <= 40; i++) {
            store.exchange().merge(0, new Document("t/" + i, "m1", 1, i, new byte[300]));
            store.exchange().merge(0, new Document("t/" + i % 3, "m1", 1, 100 + i, new byte[300]));
            if (i == 20) {
                store.exchange().merge(0, says("m2", 1, 1, R1));
                store.exchange().merge(0, says("m3", 1, 1, R1));
            }
            store.exchange().next(0, 800).forEach(item -> out.add(item.member()));
            assertTrue(i < 22 || out.containsAll(Set.of("m2", "m3")), "after " + i);
        }
    }

    @Test
    void eachItemIsPassedOnAFewTimesAndOwnOnesComeFirst() {
        for (int i = 1; i <= 4; i++) {
            store.exchange().merge(0, says("m" + i, 1, 1, R1));
        }
        store.say(0, "own/1", R1);
        List<Item> all = new ArrayList<>(store.exchange().next(0, 120));
        assertEquals("m0", all.get(0).member());
        all.addAll(out(store, 100));
        Map<String, Integer> times = new HashMap<>();
        for (Item i : all) {
            times.merge(i.member(), 1, Integer::sum);
        }
        int often = DisseminationQueue.times(5);
        assertEquals(
                Map.of("m0", often, "m1", often, "m2", often, "m3", often, "m4", often), times);
        assertFalse(store.exchange().hasNews());
        store.exchange().merge(0, says("m1", 1, 1, R1));
        assertFalse(store.exchange().hasNews(), "what is known is no news");
    }

    @Test
    void aLongDocumentCountsWhenAllItsPartsAreThereInAnyOrder() {
        byte[] body = new byte[Shared.LONGEST_BODY];
        new Random(2).nextBytes(body);
        Store from = MergeTest.store("m1", 5);
        from.say(0, TOPIC, body);
        assertTrue(store.exchange().merge(0, out(from, 1).get(0)), "asks for the rest");
        List<Item> parts = new ArrayList<>();
        from.exchange()
                .difference(store.exchange().sums(0, true), 24, 1_100)
                .datagrams()
                .forEach(parts::addAll);
        assertTrue(parts.stream().allMatch(p -> Limits.weight(p) < 540));
        Collections.shuffle(parts, new Random(3));
        Item last = parts.remove(0);
        parts.removeIf(p -> ((Item.Fragment) p).index() == ((Item.Fragment) last).index());
        parts.forEach(p -> store.exchange().merge(0, p));
        assertEquals(Map.of(), store.said(0, TOPIC));
        store.exchange().merge(0, last);
        assertArrayEquals(body, store.said(0, TOPIC).get("m1").body());
        assertEquals(from.exchange().hash(0), store.exchange().hash(0));
        store.exchange().merge(0, new Item.Fragment("x", "m1", 1, 9, 123, 0, 2, new byte[1]));
        store.exchange().merge(0, new Item.Fragment("x", "m1", 1, 9, 123, 1, 2, new byte[1]));
        assertEquals(Map.of(), store.said(0, "x"), "the digest is another one");
    }

    @Test
    void nothingTakesMoreOnTheWireThanItIsTakenFor() {
        String topic = "\u20ac".repeat(96);
        String member = "x".repeat(64);
        long[] most = new long[32];
        Arrays.fill(most, Long.MAX_VALUE);
        for (Item i :
                List.of(
                        new Document(
                                topic, member, Item.MOST_VERSION, Item.MOST_VERSION, new byte[700]),
                        new Flag(topic, member, new byte[256]),
                        new Tally(topic, member, Item.MOST_VERSION, most),
                        new Item.Fragment(
                                topic,
                                member,
                                Item.MOST_VERSION,
                                Item.MOST_VERSION,
                                Long.MIN_VALUE,
                                63,
                                64,
                                new byte[448]),
                        new Item.Sums(topic, member, 2, true, most))) {
            assertTrue(Items.bytes(List.of(i)).length - 1 <= Limits.weight(i), i.toString());
        }
    }

    @Test
    void aDocumentCountsForALeaseSinceItsMemberWasHeardAndIsNotRevivedByOthers() {
        long lease = store.lease();
        store.exchange().merge(0, says("m1", 3, 1, R1));
        store.exchange().merge(lease, beat("m1", 3, 1));
        assertEquals(Set.of("m1"), store.said(2 * lease, TOPIC).keySet());
        assertEquals(lease, store.age(2 * lease, "m1"));
        assertEquals(Map.of(), store.said(2 * lease + 1, TOPIC));
        store.exchange().wake(3 * lease + 1);
        assertEquals(0, store.exchange().held());
        store.exchange().merge(3 * lease + 2, says("m1", 3, 1, R1));
        assertEquals(Map.of(), store.said(3 * lease + 2, TOPIC), "another told it late");
        store.exchange().merge(4 * lease, beat("m1", 3, 2));
        store.exchange().merge(4 * lease, says("m1", 3, 1, R1));
        assertEquals(Set.of("m1"), store.said(4 * lease, TOPIC).keySet(), "it is back");
        store.exchange().merge(4 * lease, beat("m1", 4, 1));
        assertEquals(Map.of(), store.said(4 * lease, TOPIC), "its next life has not said it");
    }

    @Test
    void itBeatsAsOftenAsAFleetOfThatSizeCanHear() {
        store.say(0, TOPIC, R1);
        Store other = MergeTest.store("m1", 5);
        for (long now = 0; now < 120 * SECOND; now = store.exchange().nextWake()) {
            store.exchange().wake(now);
            for (Item i : store.exchange().next(now, 1_000)) {
                other.exchange().merge(now, i);
            }
            assertTrue(other.age(now, "m0") <= Heartbeat.interval(5) + SECOND);
        }
        assertEquals(Set.of("m0"), other.said(120 * SECOND, TOPIC).keySet());
        assertTrue(Heartbeat.interval(1_000) * 20 >= 1_000 * SECOND);
    }

    @Test
    void itGoesBeyondWhatOthersSayInItsNameAndGivesUpItsVote() {
        Store mine =
                starting(false, new DurableMemberState(0, Map.of(), List.of(), Map.of()), told);
        mine.say(0, TOPIC, R1);
        Store other = MergeTest.store("m1", 5);
        Document forged = says("m0", 9, 40, R2);
        other.exchange().merge(0, forged);
        mine.exchange().merge(0, forged);
        mine.exchange().merge(1, says("m0", 11, 1, R2));
        out(mine, 9).forEach(i -> other.exchange().merge(0, i));
        assertArrayEquals(R1, other.said(0, TOPIC).get("m0").body());
        assertFalse(other.counts("m0"));
        assertEquals(Set.of("m0"), other.forged());
        assertEquals(1, told.size(), told.toString());
        mine.exchange().wake(SECOND);
        assertEquals(
                12,
                mine.said(SECOND, TOPIC).get("m0").incarnation(),
                "answered later, but answered");
        Store next = starting(false, mine.exchange().memoir(), told);
        next.say(0, TOPIC, R1);
        out(next, 9).forEach(i -> other.exchange().merge(0, i));
        assertTrue(other.counts("m0"), "started anew by an operator");
    }

    @Test
    void itsOwnEchoAndItsEarlierLifeAreNoForgery() {
        Store mine =
                starting(false, new DurableMemberState(0, Map.of(), List.of(), Map.of()), told);
        mine.say(0, TOPIC, R2);
        mine.exchange().wake(0);
        List<Item> echo = out(mine, 9);
        mine.say(0, TOPIC, R1);
        mine.exchange().merge(0, says("m0", 3, 99, R2));
        echo.forEach(i -> mine.exchange().merge(0, i));
        assertEquals(List.of(), told);
        mine.exchange().merge(0, says("m0", 7, mine.said(0, TOPIC).get("m0").version(), R2));
        assertEquals(1, told.size(), "other bytes under its version");
    }

    /** Whoever says so of others, in its own name or by documents, contests itself at most. */
    @Test
    void aLiarThatClaimsThatOthersAreForgedTakesNobodysVoteButItsOwn() {
        for (Item claim :
                List.of(
                        ImpersonationClaim.flag("m4", 99),
                        new Flag(ImpersonationClaim.TOPIC + "/m1", "m4", R1),
                        new Document(ImpersonationClaim.TOPIC, "m4", 1, 1, "m1".getBytes()),
                        new Flag("m1", "m4", new byte[] {-1}))) {
            store.exchange().merge(0, claim);
        }
        assertTrue(store.counts("m1") && store.counts("m2") && store.counts("m0"));
        assertFalse(store.counts("m4"));
        assertFalse(store.counts("stranger"));
    }

    @Test
    void aPledgeIsToldOnlyOnceItIsWrittenDownAndNothingBeforeTheGenerationIs() {
        Store lasting =
                starting(true, new DurableMemberState(9, Map.of(), List.of(), Map.of()), told);
        lasting.say(0, "plain", R1);
        lasting.pledge(0, TOPIC, R1);
        lasting.exchange().wake(0);
        assertEquals(List.of(), out(lasting, 3));
        assertEquals(10, lasting.exchange().memoir().generation());
        lasting.exchange().kept(0, lasting.exchange().mark());
        assertArrayEquals(R1, lasting.said(0, TOPIC).get("m0").body());
        lasting.pledge(0, TOPIC, R2);
        lasting.say(0, "plain", R2);
        assertArrayEquals(R1, lasting.said(0, TOPIC).get("m0").body(), "not written down yet");
        assertArrayEquals(R2, lasting.said(0, "plain").get("m0").body());
        lasting.note("ring", R2);
        DurableMemberState memoir = lasting.exchange().memoir();
        assertArrayEquals(R2, memoir.pledges().get(TOPIC));
        lasting.exchange().kept(0, lasting.exchange().mark());
        assertArrayEquals(R2, lasting.said(0, TOPIC).get("m0").body());
        Store next = starting(true, memoir, told);
        next.exchange().kept(0, next.exchange().mark());
        assertArrayEquals(R2, next.said(0, TOPIC).get("m0").body());
        assertEquals(11, next.said(0, TOPIC).get("m0").incarnation());
        assertArrayEquals(R2, next.noted("ring"));
        assertTrue(next.mayVote());
    }

    @Test
    void withoutAMemoirItAsksForWhatItSaidBeforeItSpeaksOrVotes() {
        Store peer = MergeTest.store("m1", 5);
        peer.exchange().merge(0, says("m0", 20, 3, R1));
        peer.raise(0, "rollout/halt", R2);
        Store starting = starting(false, null, told);
        RevisionQuorum ballot = new RevisionQuorum(starting, TOPIC, starting.lease(), 0);
        assertFalse(ballot.cast(0, R2));
        starting.exchange().wake(0);
        assertEquals(List.of(), out(starting, 3));
        Item.Sums answer = peer.exchange().sums(1, true);
        starting.exchange().compared(0, answer);
        assertFalse(starting.mayVote(), "the halt has not come");
        peer.exchange()
                .difference(starting.exchange().sums(0, true), 9, 1_000)
                .datagrams()
                .forEach(d -> d.forEach(i -> starting.exchange().merge(0, i)));
        starting.exchange().compared(0, peer.exchange().sums(1, false));
        assertFalse(starting.mayVote(), "there was more");
        starting.exchange().compared(0, answer);
        assertTrue(starting.mayVote());
        assertArrayEquals(R1, starting.said(0, TOPIC).get("m0").body(), "its earlier vote");
        assertEquals(21, starting.said(0, TOPIC).get("m0").incarnation());
        assertEquals(List.of(), told);
    }

    @Test
    void aBallotCountsEachOfTheRosterOnceAsLongAsItsWordStands() {
        Company company = new Company("m0", 5);
        Store counting =
                new Store(
                        0,
                        new Store.Identity("m0", Company.names(5), 1, false),
                        company,
                        new DurableMemberState(0, Map.of(), List.of(), Map.of()),
                        told::add);
        long lease = counting.lease();
        RevisionQuorum ballot = new RevisionQuorum(counting, TOPIC, lease, SECOND);
        assertTrue(ballot.cast(0, R1));
        for (int version = 1; version < 9; version++) {
            counting.exchange().merge(0, says("m1", 1, version, R1));
            counting.exchange().merge(0, says("m2", 1, version, R2));
            counting.exchange().merge(0, says("stranger", 1, version, R1));
        }
        ballot.look(0);
        assertEquals(
                Set.of("m0"), ballot.holders(SECOND - 1, R1), "it must have stood for a while");
        assertEquals(Set.of("m0", "m1"), ballot.holders(SECOND, R1));
        assertFalse(ballot.carried(SECOND, R1));
        counting.exchange().merge(SECOND, says("m2", 1, 9, R1));
        assertFalse(ballot.carried(SECOND, R1));
        assertTrue(ballot.carried(2 * SECOND, R1));
        company.contested.add("m1");
        assertEquals(Set.of("m0", "m2"), ballot.holders(2 * SECOND, R1));
        company.contested.clear();
        counting.exchange().merge(2 * SECOND, ImpersonationClaim.flag("m1", 1));
        assertEquals(Set.of("m0", "m2"), ballot.holders(2 * SECOND, R1));
        counting.exchange().merge(3 * SECOND, says("m2", 1, 10, R2));
        assertEquals(Set.of("m0"), ballot.holders(9 * SECOND, R1), "withdrawn");
        counting.exchange().merge(10 * SECOND, says("m2", 1, 11, R1));
        ballot.look(10 * SECOND);
        assertEquals(Set.of("m0", "m2"), ballot.holders(10 * SECOND + lease, R1));
        assertEquals(
                Set.of("m0"), ballot.holders(10 * SECOND + lease + 1, R1), "unheard for a lease");
    }

    @Test
    void figuresOfAFewLiarsMoveNothingBeyondTheOthers() {
        assertEquals(2.5, RobustStatistics.median(List.of(1.0, 4.0, 2.0, 3.0, Double.NaN)));
        assertTrue(Double.isNaN(RobustStatistics.median(List.of())));
        Random random = new Random(4);
        for (int i = 0; i < 200; i++) {
            List<Double> values = new ArrayList<>();
            int honest = 5 + random.nextInt(20);
            for (int k = 0; k < honest; k++) {
                values.add(10 + random.nextDouble());
            }
            for (int k = honest / 4; k > 0; k--) {
                values.add(random.nextBoolean() ? 1e308 : -1e308);
            }
            assertTrue(Math.abs(RobustStatistics.median(values) - 10.5) <= 0.5);
            assertTrue(Math.abs(RobustStatistics.trimmedMean(values, 0.2) - 10.5) <= 0.5);
        }
        assertEquals(5, RobustStatistics.trimmedMean(List.of(1.0, 5.0, 900.0), 0));
        assertEquals(12, RobustStatistics.shrunk(14, 4, 10, 4));
        assertEquals(10, RobustStatistics.shrunk(Double.NaN, 0, 10, 4));
    }
}
