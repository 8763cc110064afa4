package loadbalancer.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import loadbalancer.fleet.codec.Datagram;
import loadbalancer.fleet.codec.DatagramCodec;
import loadbalancer.fleet.codec.SigningKeys;
import loadbalancer.fleet.membership.Body;
import loadbalancer.fleet.membership.Membership;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.replication.DurableMemberState;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.Store;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Many members in virtual time, on a network that loses, repeats and reorders, with a plain
 * membership.
 */
class FleetTest {
    private static final long SECOND = 1_000_000;
    private static final DurableMemberState EMPTY =
            new DurableMemberState(0, Map.of(), List.of(), Map.of());

    private record Event(long at, long order, Runnable body) {}

    private final PriorityQueue<Event> agenda =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<String, Fleet> fleets = new TreeMap<>();
    private Random random;
    private double loss;
    private boolean cut;
    private long now;
    private long order;

    @BeforeEach
    void network() {
        random = new Random(5);
        loss = 0.2;
    }

    /** Sends somebody something every second, a tenth of it a comparison. */
    private final class Plain implements Gossiper {
        private final Company company;
        private final PacketSender out;
        private long next;

        Plain(Company company, PacketSender out) {
            this.company = company;
            company.boot = order++;
            this.out = out;
            next = now + random.nextInt((int) SECOND);
        }

        @Override
        public void received(long at, Packet packet, String from, String address, long boot) {}

        @Override
        public void wake(long at) {
            if (at >= next) {
                next = at + SECOND;
                out.send(
                        at,
                        "m" + random.nextInt(company.members().size()),
                        new Packet(
                                random.nextInt(10) > 0
                                        ? new Body.Gossip()
                                        : new Body.Compare(1, 2, 3, true),
                                List.of(company.self())));
            }
        }

        @Override
        public long nextWake() {
            return next;
        }

        @Override
        public Membership membership() {
            return company;
        }
    }

    private void at(long when, Runnable body) {
        agenda.add(new Event(when, order++, body));
    }

    private boolean parted(String a, String b) {
        return cut && (a.hashCode() & 1) != (b.hashCode() & 1);
    }

    private Fleet start(String name, int size, DurableMemberState memoir) {
        DatagramCodec wire = new DatagramCodec(new SigningKeys(new byte[32]), line -> {});
        Fleet fleet =
                new Fleet(
                        wire,
                        (address, bytes) -> {
                            for (int copies = random.nextInt(8) == 0 ? 2 : 1;
                                    copies > 0;
                                    copies--) {
                                if (random.nextDouble() >= loss && !parted(name, address)) {
                                    at(
                                            now + 1_000 + random.nextInt(50_000),
                                            () -> {
                                                Fleet to = fleets.get(address);
                                                if (to != null) {
                                                    to.received(now, bytes, name);
                                                }
                                            });
                                }
                            }
                        },
                        new Random(name.hashCode()),
                        out -> new Plain(new Company(name, size), out),
                        members ->
                                new Store(
                                        now,
                                        new Store.Identity(name, Company.names(size), 1, false),
                                        members,
                                        memoir,
                                        line -> {}));
        fleets.put(name, fleet);
        turn(name, fleet);
        return fleet;
    }

    private void turn(String name, Fleet fleet) {
        if (fleets.get(name) == fleet) {
            fleet.wake(now);
            at(Math.max(now + 10_000, fleet.nextWake()), () -> turn(name, fleet));
        }
    }

    private void run(long until) {
        while (!agenda.isEmpty() && agenda.peek().at <= until) {
            Event e = agenda.poll();
            now = e.at;
            e.body.run();
        }
        now = until;
    }

    private void company(int size) {
        for (int i = 0; i < size; i++) {
            start("m" + i, size, EMPTY);
        }
    }

    private long told(String topic) {
        return fleets.values().stream()
                .filter(f -> f.shared().said(now, topic).containsKey("m1"))
                .count();
    }

    @Test
    void allOfAHundredHearOfAFlagAndALongDocumentThoughAFifthIsLost() {
        company(100);
        byte[] body = new byte[16 * 1024];
        new Random(1).nextBytes(body);
        fleets.get("m1").shared().say(0, "plan/long", body);
        fleets.get("m2").shared().raise(0, "plan/halt", new byte[1]);
        run(40 * SECOND);
        assertEquals(100, told("plan/long"));
        assertArrayEquals(body, fleets.get("m7").shared().said(now, "plan/long").get("m1").body());
        assertTrue(
                fleets.values().stream().allMatch(f -> f.shared().raised("plan/halt").size() == 1));
        long before = fleets.values().stream().mapToLong(f -> f.traffic().bytesOut()).sum();
        run(80 * SECOND);
        long perSecond =
                (fleets.values().stream().mapToLong(f -> f.traffic().bytesOut()).sum() - before)
                        / 100
                        / 40;
        assertTrue(perSecond < 5_000, "bytes a second and member: " + perSecond);
        assertFalse(fleets.get("m7").traffic().dropped().containsKey("malformed"));
        assertTrue(fleets.get("m7").traffic().dropped().containsKey("replayed"));
    }

    @Test
    void bothSidesOfAPartitionAgreeAfterItAndOneThatStartedWithoutMemoryMayVote() {
        company(20);
        cut = true;
        for (int i = 0; i < 20; i++) {
            fleets.get("m" + i).shared().say(0, "own/" + i % 7, new byte[100]);
            fleets.get("m" + i).shared().raise(0, "flag/" + i, new byte[1]);
        }
        run(20 * SECOND);
        long hashes =
                fleets.values().stream()
                        .map(f -> f.shared().exchange().hash(now))
                        .distinct()
                        .count();
        assertTrue(hashes > 1);
        cut = false;
        run(25 * SECOND);
        fleets.remove("m3");
        start("m3", 20, null);
        assertFalse(fleets.get("m3").shared().mayVote());
        run(90 * SECOND);
        assertTrue(fleets.get("m3").shared().mayVote());
        assertEquals(1, fleets.get("m3").shared().raised("flag/3").size());
        assertTrue(
                fleets.get("m9").shared().said(now, "own/3").containsKey("m3"),
                "its own is restated");
        assertEquals(
                1,
                fleets.values().stream()
                        .map(f -> f.shared().exchange().hash(now))
                        .distinct()
                        .count());
        assertTrue(fleets.values().stream().allMatch(f -> f.shared().forged().isEmpty()));
    }

    @Test
    void itsOwnDatagramsAreDroppedAndAQuestionWithoutEndIsAnsweredWithinBounds() {
        List<byte[]> own = new ArrayList<>();
        Fleet alone =
                new Fleet(
                        new DatagramCodec(new SigningKeys(new byte[32]), line -> {}),
                        (a, b) -> own.add(b),
                        new Random(1),
                        out -> new Plain(new Company("m0", 2), out),
                        members ->
                                new Store(
                                        0,
                                        new Store.Identity("m0", Company.names(2), 1, false),
                                        members,
                                        EMPTY,
                                        line -> {}));
        alone.shared().say(0, "t", new byte[16_000]);
        alone.wake(0);
        alone.received(0, own.get(0), "m0");
        assertEquals(Map.of("reflected", 1L), alone.traffic().dropped());
        DatagramCodec liar = new DatagramCodec(new SigningKeys(new byte[32]), line -> {});
        own.clear();
        for (int i = 1; i <= 1_000; i++) {
            alone.received(
                    i,
                    liar.encode(
                            new Datagram(
                                    "m1",
                                    5,
                                    i,
                                    new Packet(new Body.Gossip(), List.of()),
                                    List.of(new Item.Sums("x", "m1", 0, true, new long[32])))),
                    "a" + i % 50);
        }
        assertTrue(
                own.size() >= Fleet.ANSWER_DATAGRAMS && own.size() < 4 * Fleet.ANSWER_DATAGRAMS,
                "answered with " + own.size());
    }
}
