package loadbalancer.fleet.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import loadbalancer.fleet.membership.Body;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.replication.Item;
import org.junit.jupiter.api.Test;

class WireTest {
    private static final byte[] OLD = key(1);
    private static final byte[] NEW = key(2);

    private final List<String> told = new ArrayList<>();
    private final DatagramCodec wire = new DatagramCodec(new SigningKeys(OLD), told::add);

    private static byte[] key(int fill) {
        byte[] key = new byte[32];
        Arrays.fill(key, (byte) fill);
        return key;
    }

    static Datagram datagram(long number, Body body) {
        return new Datagram(
                "lb-1",
                -77,
                number,
                new Packet(
                        body,
                        List.of(
                                new Member(
                                        "lb-2",
                                        "10.0.0.2:9700",
                                        "a",
                                        3,
                                        1L << 60,
                                        Health.SUSPECT))),
                List.of(
                        new Item.Document("calendar/held", "lb-2", 5, 9, new byte[] {1, 2, 3}),
                        new Item.Flag(
                                "rollout/halt", "lb-3", "late".getBytes(StandardCharsets.UTF_8)),
                        new Item.Tally(
                                "rollout/served", "lb-1", 29_000_000, new long[] {0, 7, 1L << 40}),
                        new Item.Fragment("ring/known", "lb-4", 5, 2, -1, 3, 37, new byte[] {4}),
                        new Item.Sums("fleet/sums", "lb-1", 1, true, new long[] {-5, 0, 5})));
    }

    private static String text(Datagram d) {
        StringBuilder text = new StringBuilder(d.from() + d.boot() + d.number() + d.packet());
        for (Item i : d.items()) {
            byte[] bytes =
                    i instanceof Item.Document x
                            ? x.body()
                            : i instanceof Item.Flag x
                                    ? x.reason()
                                    : i instanceof Item.Fragment x ? x.slice() : null;
            long[] numbers =
                    i instanceof Item.Tally x
                            ? x.values()
                            : i instanceof Item.Sums x ? x.buckets() : null;
            text.append(i.toString().replaceAll("\\[[BJ]@\\w+", ""))
                    .append(Arrays.toString(bytes))
                    .append(Arrays.toString(numbers));
        }
        return text.toString();
    }

    private static final List<Body> BODIES =
            List.of(
                    new Body.Gossip(),
                    new Body.Ping(-9, "lb-2", 1),
                    new Body.Ack(-9, "lb-2", 1, 2, 3),
                    new Body.PingRequest(1, "lb-2", "10.0.0.2:9700"),
                    new Body.Nack(4, "lb-2"),
                    new Body.Compare(1, Long.MIN_VALUE, Long.MAX_VALUE, true));

    @Test
    void whatIsSentIsRead() {
        for (int i = 0; i < BODIES.size(); i++) {
            Datagram sent = datagram(i + 1, BODIES.get(i));
            assertEquals(text(sent), text(wire.decode(wire.encode(sent), "a")));
        }
        assertEquals(Map.of(), wire.dropped());
    }

    @Test
    void theRoomLeftIsWhatTheItemsMayTake() {
        Datagram d = datagram(1, new Body.Gossip());
        int room = wire.room(d.from(), d.packet());
        Datagram full =
                new Datagram(
                        d.from(),
                        d.boot(),
                        Item.MOST_VERSION,
                        d.packet(),
                        List.of(new Item.Flag("t", "m", new byte[room - 8])));
        assertTrue(
                wire.encode(full).length <= DatagramCodec.LONGEST
                        && wire.encode(full).length > DatagramCodec.LONGEST - 10);
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        wire.encode(
                                new Datagram(
                                        d.from(),
                                        1,
                                        1,
                                        d.packet(),
                                        List.of(
                                                new Item.Document(
                                                        "t", "m", 1, 1, new byte[1_200])))));
    }

    /**
     * Frozen: programs in service send this. A change that breaks it needs another version of the
     * wire.
     */
    @Test
    void theFrozenSampleIsReadAsEver() throws IOException {
        Datagram d = wire.decode(sample("datagram-1.hex"), "a");
        assertEquals(text(datagram(17, new Body.Ack(-9, "lb-2", 1, 2, 3))), text(d));
    }

    @Test
    void whatALaterProgramAddsIsPassedOver() throws IOException {
        Datagram d = wire.decode(sample("datagram-later.hex"), "a");
        Datagram known = datagram(18, new Body.Gossip());
        assertEquals(text(known), text(d));
        assertEquals(1, wire.unknownBodies());
        assertEquals(1, wire.unknownItems());
    }

    private static byte[] sample(String name) throws IOException {
        try (InputStream in = WireTest.class.getResourceAsStream(name)) {
            return HexFormat.of()
                    .parseHex(
                            new String(in.readAllBytes(), StandardCharsets.US_ASCII)
                                    .replaceAll("\\s", ""));
        }
    }

    @Test
    void eachCauseOfADropIsCountedAndToldOnce() {
        byte[] good = wire.encode(datagram(5_000, new Body.Gossip()));
        byte[] forged = good.clone();
        forged[40] ^= 1;
        byte[] foreign = good.clone();
        foreign[0] = 9;
        byte[] old = wire.encode(datagram(5_000 - ReplayWindow.WINDOW, new Body.Gossip()));
        assertNotNull(wire.decode(good, "a"));
        for (int i = 0; i < 2; i++) {
            for (byte[] bytes :
                    List.of(
                            forged,
                            foreign,
                            old,
                            good,
                            new byte[0],
                            new byte[1_201],
                            new DatagramCodec(new SigningKeys(NEW), told::add)
                                    .encode(datagram(6_000, new Body.Gossip())),
                            DatagramCodec.seal(new SigningKeys(OLD), new byte[] {1}))) {
                assertNull(wire.decode(bytes, "a"));
            }
        }
        assertEquals(
                Map.of(
                        DropReason.FORGED,
                        2L,
                        DropReason.FOREIGN_VERSION,
                        2L,
                        DropReason.TOO_OLD,
                        2L,
                        DropReason.REPLAYED,
                        2L,
                        DropReason.MALFORMED,
                        4L,
                        DropReason.OVERSIZED,
                        2L,
                        DropReason.UNKNOWN_KEY,
                        2L),
                wire.dropped());
        assertEquals(7, told.size(), told.toString());
    }

    @Test
    void aReplayIsSeenInAnyOrderAndByProcess() {
        ReplayWindow replays = new ReplayWindow();
        Random random = new Random(3);
        List<Long> numbers = new ArrayList<>();
        for (long n = 1; n <= 3_000; n++) {
            numbers.add(n);
        }
        // Late by less than the window, twice each: the first is new, the second never.
        for (int from = 0; from < 3_000; from += 500) {
            Collections.shuffle(numbers.subList(from, from + 500), random);
        }
        for (long n : numbers) {
            assertNull(replays.see("a", 1, n), "new " + n);
            assertEquals(DropReason.REPLAYED, replays.see("a", 1, n));
        }
        assertNull(replays.see("a", 2, 3_000), "another process counts for itself");
        assertNull(replays.see("a", 1, Item.MOST_VERSION));
        assertEquals(DropReason.TOO_OLD, replays.see("a", 1, 3_001));
    }

    @Test
    void twoKeysHoldDuringAReplacement() {
        DatagramCodec next = new DatagramCodec(new SigningKeys(NEW, OLD), told::add);
        DatagramCodec before = new DatagramCodec(new SigningKeys(OLD, NEW), told::add);
        assertNotNull(next.decode(before.encode(datagram(1, new Body.Gossip())), "a"));
        assertNotNull(before.decode(next.encode(datagram(1, new Body.Gossip())), "a"));
        before.use(new SigningKeys(NEW));
        assertNotNull(before.decode(next.encode(datagram(2, new Body.Gossip())), "a"));
        assertNull(before.decode(wire.encode(datagram(3, new Body.Gossip())), "a"));
        assertThrows(IllegalArgumentException.class, () -> new SigningKeys(new byte[31]));
    }

    /** Signed well, so that all of it gets to the parser. */
    @Test
    void noBytesMakeItFailOrTakeMoreThanTheyAre() {
        Random random = new Random(19);
        SigningKeys keys = new SigningKeys(OLD);
        int read = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = wire.encode(datagram(i + 1, BODIES.get(i % BODIES.size())));
            byte[] cbor = Arrays.copyOfRange(bytes, 2, bytes.length - SigningKeys.MAC_BYTES);
            for (int m = random.nextInt(3); m >= 0; m--) {
                int at = random.nextInt(cbor.length);
                switch (random.nextInt(4)) {
                    case 0 -> cbor[at] = (byte) random.nextInt();
                    case 1 -> cbor[at] ^= 1 << random.nextInt(8);
                    case 2 -> cbor = Arrays.copyOf(cbor, Math.max(1, at));
                    default ->
                            System.arraycopy(
                                    cbor,
                                    random.nextInt(cbor.length - at),
                                    cbor,
                                    0,
                                    Math.min(at, 9));
                }
            }
            read +=
                    new DatagramCodec(keys, told::add).decode(DatagramCodec.seal(keys, cbor), "a")
                                    == null
                            ? 0
                            : 1;
        }
        assertTrue(read > 500 && read < 15_000, "mutants read: " + read);
    }

    @Test
    void lengthsThatAreOnlyClaimedAreRefusedBeforeTheParser() {
        for (String hex :
                List.of(
                        "5a0003d090",
                        "7a0003d090",
                        "9a7fffffff",
                        "ba7fffffff",
                        "5bffffffffffffffff",
                        "c25a0003d090",
                        "5f4100ff",
                        "9f00ff",
                        "8181818181818100",
                        "1b00",
                        "fb00",
                        "0000",
                        "")) {
            byte[] bytes = HexFormat.of().parseHex(hex);
            assertTrue(!CborValidator.fits(bytes, 0, bytes.length), hex);
        }
        for (String hex :
                List.of(
                        "00",
                        "1bffffffffffffffff",
                        "fa7f800000",
                        "a1616100",
                        "8181818100",
                        "4100")) {
            byte[] bytes = HexFormat.of().parseHex(hex);
            assertTrue(CborValidator.fits(bytes, 0, bytes.length), hex);
        }
        // A map of open length, which the parser by itself would take.
        byte[] good = wire.encode(datagram(1, new Body.Gossip()));
        byte[] open = Arrays.copyOfRange(good, 2, good.length - SigningKeys.MAC_BYTES + 1);
        open[0] = (byte) 0xbf;
        open[open.length - 1] = (byte) 0xff;
        assertNull(wire.decode(DatagramCodec.seal(new SigningKeys(OLD), open), "a"));
    }
}
