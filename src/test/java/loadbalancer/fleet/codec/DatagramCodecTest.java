package loadbalancer.fleet.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
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
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.membership.SwimMessage;
import loadbalancer.fleet.replication.Item;
import org.junit.jupiter.api.Test;

/** Tests encoding and decoding, compatibility with other versions, and dropped datagrams. */
class DatagramCodecTest {
    private static final byte[] OLD_KEY = key(1);
    private static final byte[] NEW_KEY = key(2);
    private static final SwimMessage GOSSIP = new SwimMessage.Gossip();
    private static final SwimMessage ACK = new SwimMessage.Ack(-9, "lb-2", 1, 2, 3);
    private static final List<SwimMessage> MESSAGES =
            List.of(
                    GOSSIP,
                    new SwimMessage.Ping(-9, "lb-2", 1),
                    ACK,
                    new SwimMessage.PingRequest(1, "lb-2", "10.0.0.2:9700"),
                    new SwimMessage.Nack(4, "lb-2"),
                    new SwimMessage.Digest(1, Long.MIN_VALUE, Long.MAX_VALUE, true));

    /** Expected after two passes over two malformed datagrams and one for each other reason. */
    private static final Map<DropReason, Long> EXPECTED_DROPS =
            Map.of(
                    DropReason.FORGED, 2L,
                    DropReason.FOREIGN_VERSION, 2L,
                    DropReason.TOO_OLD, 2L,
                    DropReason.REPLAYED, 2L,
                    DropReason.MALFORMED, 4L,
                    DropReason.OVERSIZED, 2L,
                    DropReason.UNKNOWN_KEY, 2L);

    private final List<String> logLines = new ArrayList<>();
    private final DatagramCodec codec = codec(OLD_KEY);

    private static byte[] key(int fill) {
        byte[] key = new byte[32];
        Arrays.fill(key, (byte) fill);
        return key;
    }

    private DatagramCodec codec(byte[]... keys) {
        return new DatagramCodec(new SigningKeys(keys), logLines::add);
    }

    private static Datagram datagram(long sequenceNumber, SwimMessage message) {
        Member update = new Member("lb-2", "10.0.0.2:9700", "a", 3, 1L << 60, Health.SUSPECT);
        byte[] reason = "late".getBytes(StandardCharsets.UTF_8);
        List<Item> items =
                List.of(
                        new Item.Document("calendar/held", "lb-2", 5, 9, new byte[] {1, 2, 3}),
                        new Item.Flag("rollout/halt", "lb-3", reason),
                        new Item.Counters(
                                "rollout/served", "lb-1", 29_000_000, new long[] {0, 7, 1L << 40}),
                        new Item.Fragment("ring/known", "lb-4", 5, 2, -1, 3, 37, new byte[] {4}),
                        new Item.BucketHashes(
                                "fleet/sums", "lb-1", 1, true, new long[] {-5, 0, 5}));
        return new Datagram(
                "lb-1", -77, sequenceNumber, new Packet(message, List.of(update)), items);
    }

    /** Returns all fields of a datagram as text, with the content of arrays. */
    private static String text(Datagram datagram) {
        StringBuilder text =
                new StringBuilder(
                        datagram.sender()
                                + datagram.bootId()
                                + datagram.sequenceNumber()
                                + datagram.packet());
        for (Item item : datagram.items()) {
            text.append(item.toString().replaceAll("\\[[BJ]@\\w+", ""))
                    .append(Arrays.toString(bytes(item)))
                    .append(Arrays.toString(numbers(item)));
        }
        return text.toString();
    }

    private static byte[] bytes(Item item) {
        if (item instanceof Item.Document document) {
            return document.body();
        }
        if (item instanceof Item.Flag flag) {
            return flag.reason();
        }
        return item instanceof Item.Fragment fragment ? fragment.slice() : null;
    }

    private static long[] numbers(Item item) {
        if (item instanceof Item.Counters counters) {
            return counters.values();
        }
        return item instanceof Item.BucketHashes buckets ? buckets.hashes() : null;
    }

    /** Returns the CBOR between header and MAC. */
    private static byte[] cbor(byte[] datagram) {
        return Arrays.copyOfRange(datagram, 2, datagram.length - SigningKeys.MAC_BYTES);
    }

    @Test
    void decodedDatagramEqualsTheEncodedOne() {
        for (int i = 0; i < MESSAGES.size(); i++) {
            Datagram sent = datagram(i + 1, MESSAGES.get(i));
            assertEquals(text(sent), text(codec.decode(codec.encode(sent), "a")));
        }
        assertEquals(Map.of(), codec.dropCounts());
    }

    @Test
    void itemBytesLeftFitAndLongerDatagramsAreRejected() {
        Datagram datagram = datagram(1, GOSSIP);
        int itemBytes = codec.itemBytesLeft(datagram.sender(), datagram.packet());
        Item flag = new Item.Flag("t", "m", new byte[itemBytes - 8]);
        Datagram full =
                new Datagram(
                        datagram.sender(),
                        datagram.bootId(),
                        Item.MAX_VERSION,
                        datagram.packet(),
                        List.of(flag));
        int length = codec.encode(full).length;
        assertTrue(
                length <= DatagramCodec.MAX_DATAGRAM_BYTES
                        && length > DatagramCodec.MAX_DATAGRAM_BYTES - 10);
        Item document = new Item.Document("t", "m", 1, 1, new byte[1_200]);
        Datagram tooLong =
                new Datagram(datagram.sender(), 1, 1, datagram.packet(), List.of(document));
        assertThrows(IllegalArgumentException.class, () -> codec.encode(tooLong));
    }

    /** Deployed balancers send this format; an incompatible change needs another version. */
    @Test
    void storedSampleIsDecodedAndEncodedByteForByte() throws IOException {
        byte[] sample = sample("datagram-1.hex");
        Datagram datagram = datagram(17, ACK);
        assertEquals(text(datagram), text(codec.decode(sample, "a")));
        assertArrayEquals(sample, codec.encode(datagram));
    }

    @Test
    void additionsOfALaterVersionAreSkipped() throws IOException {
        Datagram decoded = codec.decode(sample("datagram-later.hex"), "a");
        assertEquals(text(datagram(18, GOSSIP)), text(decoded));
        assertEquals(1, codec.unknownMessageCount());
        assertEquals(1, codec.unknownItemCount());
    }

    private static byte[] sample(String name) throws IOException {
        try (InputStream in = DatagramCodecTest.class.getResourceAsStream(name)) {
            String hex = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            return HexFormat.of().parseHex(hex.replaceAll("\\s", ""));
        }
    }

    @Test
    void countsDropsByReasonAndLogsTheFirstOfEach() {
        byte[] valid = codec.encode(datagram(5_000, GOSSIP));
        byte[] forged = valid.clone();
        forged[40] ^= 1;
        byte[] foreign = valid.clone();
        foreign[0] = 9;
        byte[] tooOld = codec.encode(datagram(5_000 - ReplayWindow.WINDOW_SIZE, GOSSIP));
        byte[] unknownKey = codec(NEW_KEY).encode(datagram(6_000, GOSSIP));
        byte[] malformed = DatagramCodec.sign(new SigningKeys(OLD_KEY), new byte[] {1});
        assertNotNull(codec.decode(valid, "a"));
        for (int i = 0; i < 2; i++) {
            for (byte[] dropped :
                    List.of(
                            forged,
                            foreign,
                            tooOld,
                            valid,
                            new byte[0],
                            new byte[1_201],
                            unknownKey,
                            malformed)) {
                assertNull(codec.decode(dropped, "a"));
            }
        }
        assertEquals(EXPECTED_DROPS, codec.dropCounts());
        assertEquals(7, logLines.size(), logLines.toString());
    }

    @Test
    void bothKeysAreAcceptedDuringARotation() {
        DatagramCodec after = codec(NEW_KEY, OLD_KEY);
        DatagramCodec before = codec(OLD_KEY, NEW_KEY);
        assertNotNull(after.decode(before.encode(datagram(1, GOSSIP)), "a"));
        assertNotNull(before.decode(after.encode(datagram(1, GOSSIP)), "a"));
        before.setKeys(new SigningKeys(NEW_KEY));
        assertNotNull(before.decode(after.encode(datagram(2, GOSSIP)), "a"));
        assertNull(before.decode(codec.encode(datagram(3, GOSSIP)), "a"));
        assertThrows(IllegalArgumentException.class, () -> new SigningKeys(new byte[31]));
    }

    /** The mutants are signed, so that the MAC does not keep them from the parser. */
    @Test
    void mutatedBytesNeverThrow() {
        Random random = new Random(19);
        SigningKeys keys = new SigningKeys(OLD_KEY);
        int decodedCount = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = codec.encode(datagram(i + 1, MESSAGES.get(i % MESSAGES.size())));
            byte[] mutant = cbor(bytes);
            for (int mutations = random.nextInt(3); mutations >= 0; mutations--) {
                mutant = mutate(mutant, random);
            }
            byte[] signed = DatagramCodec.sign(keys, mutant);
            Datagram decoded = new DatagramCodec(keys, logLines::add).decode(signed, "a");
            decodedCount += decoded == null ? 0 : 1;
        }
        assertTrue(decodedCount > 500 && decodedCount < 15_000, "decoded: " + decodedCount);
    }

    private static byte[] mutate(byte[] bytes, Random random) {
        int index = random.nextInt(bytes.length);
        switch (random.nextInt(4)) {
            case 0 -> bytes[index] = (byte) random.nextInt();
            case 1 -> bytes[index] ^= 1 << random.nextInt(8);
            case 2 -> {
                return Arrays.copyOf(bytes, Math.max(1, index));
            }
            default -> {
                int from = random.nextInt(bytes.length - index);
                System.arraycopy(bytes, from, bytes, 0, Math.min(index, 9));
            }
        }
        return bytes;
    }

    /** The parser alone would accept a map of indefinite length. */
    @Test
    void indefiniteLengthIsRejectedBeforeTheParser() {
        byte[] datagram = codec.encode(datagram(1, GOSSIP));
        byte[] indefinite = Arrays.copyOf(cbor(datagram), cbor(datagram).length + 1);
        indefinite[0] = (byte) 0xbf;
        indefinite[indefinite.length - 1] = (byte) 0xff;
        assertNull(codec.decode(DatagramCodec.sign(new SigningKeys(OLD_KEY), indefinite), "a"));
    }
}
