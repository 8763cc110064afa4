package loadbalancer.fleet.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.SharedState;

/**
 * Encodes and decodes items as CBOR: each is an array of its kind, topic and member, followed by
 * the other fields in the order of the record. Additional values and unknown kinds, which a later
 * version may have added, are skipped. Stateless.
 */
public final class ItemCodec {
    private static final int DOCUMENT = 1;
    private static final int FLAG = 2;
    private static final int COUNTERS = 3;
    private static final int FRAGMENT = 4;
    private static final int BUCKET_HASHES = 5;

    // Number of elements in the array of each kind.
    private static final int DOCUMENT_SIZE = 6;
    private static final int FLAG_SIZE = 4;
    private static final int COUNTERS_SIZE = 5;
    private static final int FRAGMENT_SIZE = 9;
    private static final int BUCKET_HASHES_SIZE = 6;

    private static final int MAX_TOPIC_CHARS = 96;
    private static final int MAX_STEP = 2;
    private static final int MIN_FRAGMENTS = 2;

    /** Decoded items, and the number of items that were skipped for their unknown kind. */
    public record DecodedItems(List<Item> items, int unknownCount) {}

    private ItemCodec() {}

    /** Encodes a list of items as one CBOR value. */
    public static byte[] encode(List<Item> items) {
        return CborValues.encode(out -> writeItems(out, items));
    }

    /**
     * Decodes items that {@link #encode} wrote.
     *
     * @throws InvalidCborException if the bytes are not a valid list of items
     * @throws IOException if the CBOR parser fails
     */
    public static DecodedItems decode(byte[] bytes) throws IOException {
        if (!CborValidator.isValid(bytes, 0, bytes.length)) {
            throw new InvalidCborException("the items are not one valid CBOR value");
        }
        try (JsonParser in = CborValues.parser(bytes, 0, bytes.length)) {
            return readItems(in);
        }
    }

    static void writeItems(JsonGenerator out, List<Item> items) throws IOException {
        CborValues.startArray(out, items.size());
        for (Item item : items) {
            writeItem(out, item);
        }
        out.writeEndArray();
    }

    private static void startItem(JsonGenerator out, int size, int kind, Item item)
            throws IOException {
        CborValues.startArray(out, size);
        out.writeNumber(kind);
        out.writeString(item.topic());
        out.writeString(item.member());
    }

    private static void writeItem(JsonGenerator out, Item item) throws IOException {
        if (item instanceof Item.Document document) {
            startItem(out, DOCUMENT_SIZE, DOCUMENT, document);
            out.writeNumber(document.incarnation());
            out.writeNumber(document.version());
            out.writeBinary(document.body());
        } else if (item instanceof Item.Flag flag) {
            startItem(out, FLAG_SIZE, FLAG, flag);
            out.writeBinary(flag.reason());
        } else if (item instanceof Item.Counters counters) {
            startItem(out, COUNTERS_SIZE, COUNTERS, counters);
            out.writeNumber(counters.window());
            CborValues.writeNumbers(out, counters.values());
        } else if (item instanceof Item.Fragment fragment) {
            writeFragment(out, fragment);
        } else if (item instanceof Item.BucketHashes buckets) {
            startItem(out, BUCKET_HASHES_SIZE, BUCKET_HASHES, buckets);
            out.writeNumber(buckets.step());
            out.writeBoolean(buckets.isComplete());
            CborValues.writeNumbers(out, buckets.hashes());
        }
        out.writeEndArray();
    }

    private static void writeFragment(JsonGenerator out, Item.Fragment fragment)
            throws IOException {
        startItem(out, FRAGMENT_SIZE, FRAGMENT, fragment);
        out.writeNumber(fragment.incarnation());
        out.writeNumber(fragment.version());
        out.writeNumber(fragment.digest());
        out.writeNumber(fragment.index());
        out.writeNumber(fragment.fragmentCount());
        out.writeBinary(fragment.slice());
    }

    static DecodedItems readItems(JsonParser in) throws IOException {
        CborValues.expect(in, JsonToken.START_ARRAY);
        List<Item> items = new ArrayList<>();
        int unknownCount = 0;
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.START_ARRAY) {
                throw new InvalidCborException("expected an item, which is an array");
            }
            Item item = readItem(in);
            CborValues.skipRestOfArray(in);
            if (item == null) {
                unknownCount++;
            } else {
                items.add(item);
            }
        }
        return new DecodedItems(items, unknownCount);
    }

    /** Reads an item; returns null for an unknown kind. */
    private static Item readItem(JsonParser in) throws IOException {
        int kind = (int) CborValues.readNumber(in, 0, Integer.MAX_VALUE);
        if (kind < DOCUMENT || kind > BUCKET_HASHES) {
            return null;
        }
        String topic = CborValues.readText(in, 1, MAX_TOPIC_CHARS);
        String member = PacketCodec.readName(in);
        return switch (kind) {
            case DOCUMENT ->
                    new Item.Document(
                            topic,
                            member,
                            CborValues.readNumber(in, 0, Item.MAX_VERSION),
                            CborValues.readNumber(in, 1, Item.MAX_VERSION),
                            CborValues.readBinary(in, SharedState.MAX_BODY_BYTES));
            case FLAG ->
                    new Item.Flag(
                            topic, member, CborValues.readBinary(in, SharedState.MAX_REASON_BYTES));
            case COUNTERS ->
                    new Item.Counters(
                            topic,
                            member,
                            CborValues.readNumber(in, 0, Item.MAX_VERSION),
                            CborValues.readNumbers(in, SharedState.MAX_COUNTER_VALUES, 0));
            case FRAGMENT -> readFragment(in, topic, member);
            default -> readBucketHashes(in, topic, member);
        };
    }

    private static Item readFragment(JsonParser in, String topic, String member)
            throws IOException {
        long incarnation = CborValues.readNumber(in, 0, Item.MAX_VERSION);
        long version = CborValues.readNumber(in, 1, Item.MAX_VERSION);
        long digest = CborValues.readNumber(in);
        int index = (int) CborValues.readNumber(in, 0, Item.MAX_FRAGMENTS - 1);
        int minFragments = Math.max(MIN_FRAGMENTS, index + 1);
        int fragmentCount = (int) CborValues.readNumber(in, minFragments, Item.MAX_FRAGMENTS);
        byte[] slice = CborValues.readBinary(in, SharedState.MAX_BODY_BYTES);
        return new Item.Fragment(
                topic, member, incarnation, version, digest, index, fragmentCount, slice);
    }

    private static Item readBucketHashes(JsonParser in, String topic, String member)
            throws IOException {
        int step = (int) CborValues.readNumber(in, 0, MAX_STEP);
        boolean isComplete = CborValues.readBoolean(in);
        long[] hashes = CborValues.readNumbers(in, SharedState.MAX_COUNTER_VALUES, Long.MIN_VALUE);
        return new Item.BucketHashes(topic, member, step, isComplete, hashes);
    }
}
