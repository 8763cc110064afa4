package loadbalancer.fleet.codec;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.fleet.membership.Body;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.replication.Item;

/**
 * Datagrams to bytes and back: a byte for the version, a byte for the key, CBOR, and the MAC over
 * all of that. What comes in is counted by why it was dropped, and each cause is told once. For one
 * thread.
 */
public final class DatagramCodec {
    /**
     * Bytes of a datagram at most: below what any path carries in one piece (IPv6's 1,280 less
     * headers).
     */
    public static final int LONGEST = 1_200;

    /**
     * Of the form that is written; others are dropped. Additions don't change it, only breaks do.
     */
    public static final int VERSION = 1;

    private static final int HEAD = 2;

    private final ReplayWindow replays = new ReplayWindow();
    private final Map<DropReason, Long> dropped = new EnumMap<>(DropReason.class);
    private final Consumer<String> told;
    private SigningKeys keys;
    private long unknownBodies;
    private long unknownItems;

    /** Tells each cause of a drop once, in one line. */
    public DatagramCodec(SigningKeys keys, Consumer<String> told) {
        this.keys = keys;
        this.told = told;
    }

    /** Takes other keys from here on. */
    public void use(SigningKeys next) {
        keys = next;
    }

    /** The bytes of a datagram; refused if there are too many. */
    public byte[] encode(Datagram d) {
        byte[] cbor = cbor(d);
        if (HEAD + cbor.length + SigningKeys.MAC_BYTES > LONGEST) {
            throw new IllegalArgumentException(
                    "a datagram of " + cbor.length + " bytes in the clear");
        }
        return seal(keys, cbor);
    }

    private static byte[] cbor(Datagram d) {
        return Cbor.bytes(
                out -> {
                    out.writeStartObject(null, 6);
                    out.writeStringField("f", d.from());
                    out.writeNumberField("b", d.boot());
                    out.writeNumberField("n", d.number());
                    out.writeFieldName("p");
                    Packets.write(out, d.packet().body());
                    out.writeFieldName("r");
                    Packets.write(out, d.packet().rumours());
                    out.writeFieldName("i");
                    Items.write(out, d.items());
                    out.writeEndObject();
                });
    }

    /** Version, key and MAC around what is in the clear. */
    static byte[] seal(SigningKeys keys, byte[] cbor) {
        byte[] bytes =
                Arrays.copyOf(
                        new byte[] {VERSION, keys.id()},
                        HEAD + cbor.length + SigningKeys.MAC_BYTES);
        System.arraycopy(cbor, 0, bytes, HEAD, cbor.length);
        keys.sign(bytes, HEAD + cbor.length);
        return bytes;
    }

    /**
     * The datagram in those bytes; null if it is dropped. {@code address} is for the line that says
     * so.
     */
    public Datagram decode(byte[] bytes, String address) {
        DropReason why = check(bytes);
        if (why != null) {
            return drop(why, address);
        }
        Datagram d;
        try (JsonParser in =
                Cbor.parser(bytes, HEAD, bytes.length - HEAD - SigningKeys.MAC_BYTES)) {
            d = read(in);
        } catch (IOException | RuntimeException e) { // a parser's fault must not end the event loop
            return drop(DropReason.MALFORMED, address);
        }
        why = replays.see(d.from(), d.boot(), d.number());
        return why == null ? d : drop(why, address);
    }

    /** Counts one that was dropped further up. */
    public Datagram drop(DropReason why, String address) {
        if (dropped.merge(why, 1L, Long::sum) == 1) {
            told.accept(
                    "fleet: dropped a datagram from "
                            + address
                            + ": "
                            + why.reason()
                            + "; from here on such ones are only counted");
        }
        return null;
    }

    private DropReason check(byte[] bytes) {
        if (bytes.length > LONGEST) {
            return DropReason.OVERSIZED;
        }
        if (bytes.length > 0 && bytes[0] != VERSION) {
            return DropReason.FOREIGN_VERSION;
        }
        int end = bytes.length - SigningKeys.MAC_BYTES;
        if (end <= HEAD) {
            return DropReason.MALFORMED;
        }
        DropReason why = keys.verify(bytes[1], bytes, end);
        return why != null
                ? why
                : CborValidator.fits(bytes, HEAD, end) ? null : DropReason.MALFORMED;
    }

    private Datagram read(JsonParser in) throws IOException {
        String from = null;
        long boot = 0;
        long number = 0;
        Body body = null;
        boolean hasBody = false;
        List<Member> rumours = List.of();
        Items.Read items = new Items.Read(List.of(), 0);
        Cbor.expect(in, JsonToken.START_OBJECT);
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            switch (in.currentName()) {
                case "f" -> from = Packets.name(in);
                case "b" -> boot = Cbor.number(in);
                case "n" -> number = Cbor.number(in, 1, Item.MOST_VERSION);
                case "p" -> {
                    body = Packets.read(in);
                    hasBody = true;
                }
                case "r" -> rumours = Packets.members(in);
                case "i" -> items = Items.read(in);
                default -> {
                    in.nextToken();
                    in.skipChildren();
                }
            }
        }
        if (from == null || number == 0 || !hasBody) {
            throw new IOException("a field is missing");
        }
        unknownBodies += body == null ? 1 : 0;
        unknownItems += items.unknown();
        // Who sends a body that isn't known here still tells of members and items that are.
        return new Datagram(
                from,
                boot,
                number,
                new Packet(body == null ? new Body.Gossip() : body, rumours),
                items.items());
    }

    /**
     * How many bytes of items a datagram with this packet still has room for; below 0 it is too
     * long.
     */
    public int room(String from, Packet packet) {
        // A number of nine bytes at most, and the length of the list of items.
        int bare =
                cbor(new Datagram(from, Long.MAX_VALUE, Long.MAX_VALUE, packet, List.of())).length;
        return LONGEST - SigningKeys.MAC_BYTES - HEAD - bare - 3;
    }

    /** How many datagrams were dropped, by cause; those without any are left out. */
    public Map<DropReason, Long> dropped() {
        return new EnumMap<>(dropped);
    }

    /** How many bodies were passed over since a later program's are not known here. */
    public long unknownBodies() {
        return unknownBodies;
    }

    /** The same of items. */
    public long unknownItems() {
        return unknownItems;
    }
}
