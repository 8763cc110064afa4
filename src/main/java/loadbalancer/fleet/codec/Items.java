package loadbalancer.fleet.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.Shared;

/**
 * Items as CBOR: each an array of its kind, topic, member, and its own fields in the order of the
 * record. What a later program adds stands behind those and is passed over; so is a kind that isn't
 * known here.
 */
public final class Items {
    private static final int DOCUMENT = 1;
    private static final int FLAG = 2;
    private static final int TALLY = 3;
    private static final int FRAGMENT = 4;
    private static final int SUMS = 5;
    private static final int LONGEST_TOPIC = 96;
    private static final int LONGEST_NAME = 64;

    /** What was read: the items known here, and how many are of other kinds. */
    public record Read(List<Item> items, int unknown) {}

    private Items() {}

    /** All of them as one value. */
    public static byte[] bytes(List<Item> items) {
        return Cbor.bytes(out -> write(out, items));
    }

    /** Reads what {@link #bytes} wrote; fails on anything else. */
    public static Read read(byte[] bytes) throws IOException {
        if (!CborValidator.fits(bytes, 0, bytes.length)) {
            throw new IOException("not items");
        }
        try (JsonParser in = Cbor.parser(bytes, 0, bytes.length)) {
            return read(in);
        }
    }

    static void write(JsonGenerator out, List<Item> items) throws IOException {
        Cbor.array(out, items.size());
        for (Item item : items) {
            write(out, item);
        }
        out.writeEndArray();
    }

    private static void head(JsonGenerator out, int size, int kind, Item item) throws IOException {
        Cbor.array(out, size);
        out.writeNumber(kind);
        out.writeString(item.topic());
        out.writeString(item.member());
    }

    static void write(JsonGenerator out, Item item) throws IOException {
        if (item instanceof Item.Document d) {
            head(out, 6, DOCUMENT, d);
            out.writeNumber(d.incarnation());
            out.writeNumber(d.version());
            out.writeBinary(d.body());
        } else if (item instanceof Item.Flag f) {
            head(out, 4, FLAG, f);
            out.writeBinary(f.reason());
        } else if (item instanceof Item.Tally t) {
            head(out, 5, TALLY, t);
            out.writeNumber(t.window());
            Cbor.numbers(out, t.values());
        } else if (item instanceof Item.Fragment f) {
            head(out, 9, FRAGMENT, f);
            out.writeNumber(f.incarnation());
            out.writeNumber(f.version());
            out.writeNumber(f.digest());
            out.writeNumber(f.index());
            out.writeNumber(f.parts());
            out.writeBinary(f.slice());
        } else if (item instanceof Item.Sums s) {
            head(out, 6, SUMS, s);
            out.writeNumber(s.step());
            out.writeBoolean(s.whole());
            Cbor.numbers(out, s.buckets());
        }
        out.writeEndArray();
    }

    static Read read(JsonParser in) throws IOException {
        Cbor.expect(in, JsonToken.START_ARRAY);
        List<Item> items = new ArrayList<>();
        int unknown = 0;
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.START_ARRAY) {
                throw new IOException("expected an item");
            }
            Item item = item(in);
            Cbor.rest(in);
            if (item == null) {
                unknown++;
            } else {
                items.add(item);
            }
        }
        return new Read(items, unknown);
    }

    private static Item item(JsonParser in) throws IOException {
        int kind = (int) Cbor.number(in, 0, Integer.MAX_VALUE);
        if (kind < DOCUMENT || kind > SUMS) {
            return null;
        }
        String topic = Cbor.text(in, 1, LONGEST_TOPIC);
        String member = Cbor.text(in, 1, LONGEST_NAME);
        return switch (kind) {
            case DOCUMENT ->
                    new Item.Document(
                            topic,
                            member,
                            Cbor.number(in, 0, Item.MOST_VERSION),
                            Cbor.number(in, 1, Item.MOST_VERSION),
                            Cbor.binary(in, Shared.LONGEST_BODY));
            case FLAG -> new Item.Flag(topic, member, Cbor.binary(in, Shared.LONGEST_REASON));
            case TALLY ->
                    new Item.Tally(
                            topic,
                            member,
                            Cbor.number(in, 0, Item.MOST_VERSION),
                            Cbor.numbers(in, Shared.MOST_VALUES, 0));
            case FRAGMENT -> fragment(in, topic, member);
            default ->
                    new Item.Sums(
                            topic,
                            member,
                            (int) Cbor.number(in, 0, 2),
                            Cbor.truth(in),
                            Cbor.numbers(in, Shared.MOST_VALUES, Long.MIN_VALUE));
        };
    }

    private static Item fragment(JsonParser in, String topic, String member) throws IOException {
        long incarnation = Cbor.number(in, 0, Item.MOST_VERSION);
        long version = Cbor.number(in, 1, Item.MOST_VERSION);
        long digest = Cbor.number(in);
        int index = (int) Cbor.number(in, 0, Item.MOST_PARTS - 1);
        int parts = (int) Cbor.number(in, Math.max(2, index + 1), Item.MOST_PARTS);
        return new Item.Fragment(
                topic,
                member,
                incarnation,
                version,
                digest,
                index,
                parts,
                Cbor.binary(in, Shared.LONGEST_BODY));
    }
}
