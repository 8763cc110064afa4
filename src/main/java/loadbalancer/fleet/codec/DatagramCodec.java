package loadbalancer.fleet.codec;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.membership.SwimMessage;
import loadbalancer.fleet.replication.Item;

/**
 * Encodes and decodes datagrams, which consist of one byte for the version, one byte for the ID of
 * the key, a CBOR map, and the MAC of everything before it. Invalid datagrams are dropped and
 * counted by reason; the first one for each reason is logged. For one thread; independent of time.
 */
public final class DatagramCodec {
    /** Fits into any path's MTU without fragmentation: IPv6's minimum of 1,280 less the headers. */
    public static final int MAX_DATAGRAM_BYTES = 1_200;

    /** Version of the wire format; datagrams with another one are dropped. */
    public static final int VERSION = 1;

    private static final int HEADER_BYTES = 2;
    private static final int FIELDS = 6;

    /** Maximum size of the CBOR head of a list of items. */
    private static final int LIST_HEAD_BYTES = 3;

    private final ReplayWindow replayWindow = new ReplayWindow();
    private final Map<DropReason, Long> dropCounts = new EnumMap<>(DropReason.class);
    private final Consumer<String> log;
    private SigningKeys keys;
    private long unknownMessageCount;
    private long unknownItemCount;

    /** Uses the given keys until {@link #setKeys}; {@code log} receives single lines. */
    public DatagramCodec(SigningKeys keys, Consumer<String> log) {
        this.keys = keys;
        this.log = log;
    }

    /** Replaces the keys for all later calls. */
    public void setKeys(SigningKeys next) {
        keys = next;
    }

    /**
     * Encodes and signs a datagram.
     *
     * @throws IllegalArgumentException if it exceeds {@link #MAX_DATAGRAM_BYTES}
     */
    public byte[] encode(Datagram datagram) {
        byte[] cbor = encodeFields(datagram);
        if (HEADER_BYTES + cbor.length + SigningKeys.MAC_BYTES > MAX_DATAGRAM_BYTES) {
            throw new IllegalArgumentException(
                    "fleet datagram: "
                            + cbor.length
                            + " bytes of content exceed the maximum of 1182");
        }
        return sign(keys, cbor);
    }

    private static byte[] encodeFields(Datagram datagram) {
        return CborValues.encode(
                out -> {
                    out.writeStartObject(null, FIELDS);
                    out.writeStringField(DatagramFieldNames.SENDER, datagram.sender());
                    out.writeNumberField(DatagramFieldNames.BOOT_ID, datagram.bootId());
                    out.writeNumberField(
                            DatagramFieldNames.SEQUENCE_NUMBER, datagram.sequenceNumber());
                    out.writeFieldName(DatagramFieldNames.MESSAGE);
                    PacketCodec.writeMessage(out, datagram.packet().message());
                    out.writeFieldName(DatagramFieldNames.UPDATES);
                    PacketCodec.writeUpdates(out, datagram.packet().updates());
                    out.writeFieldName(DatagramFieldNames.ITEMS);
                    ItemCodec.writeItems(out, datagram.items());
                    out.writeEndObject();
                });
    }

    /** Adds the version, the key ID and the MAC to the encoded fields. */
    static byte[] sign(SigningKeys keys, byte[] cbor) {
        int end = HEADER_BYTES + cbor.length;
        byte[] bytes = new byte[end + SigningKeys.MAC_BYTES];
        bytes[0] = VERSION;
        bytes[1] = keys.signingKeyId();
        System.arraycopy(cbor, 0, bytes, HEADER_BYTES, cbor.length);
        keys.sign(bytes, end);
        return bytes;
    }

    /**
     * Verifies and decodes a datagram; returns null if it is dropped.
     *
     * @param address the sender's {@code host:port}, for the log line
     */
    public Datagram decode(byte[] bytes, String address) {
        DropReason reason = verify(bytes);
        if (reason != null) {
            drop(reason, address);
            return null;
        }
        Datagram datagram;
        int length = bytes.length - HEADER_BYTES - SigningKeys.MAC_BYTES;
        try (JsonParser in = CborValues.parser(bytes, HEADER_BYTES, length)) {
            datagram = readFields(in);
        } catch (IOException | RuntimeException e) { // a fault of the parser must not stop the loop
            drop(DropReason.MALFORMED, address);
            return null;
        }
        reason =
                replayWindow.accept(
                        datagram.sender(), datagram.bootId(), datagram.sequenceNumber());
        if (reason != null) {
            drop(reason, address);
            return null;
        }
        return datagram;
    }

    /** Counts a dropped datagram, and logs the first one for each reason. */
    public void drop(DropReason reason, String address) {
        if (dropCounts.merge(reason, 1L, Long::sum) == 1) {
            log.accept(
                    "fleet: dropped a datagram from "
                            + address
                            + ": "
                            + reason.description()
                            + "; further datagrams with this fault are only counted");
        }
    }

    private DropReason verify(byte[] bytes) {
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            return DropReason.OVERSIZED;
        }
        if (bytes.length > 0 && bytes[0] != VERSION) {
            return DropReason.FOREIGN_VERSION;
        }
        int end = bytes.length - SigningKeys.MAC_BYTES;
        if (end <= HEADER_BYTES) {
            return DropReason.MALFORMED;
        }
        DropReason reason = keys.verify(bytes[1], bytes, end);
        if (reason != null) {
            return reason;
        }
        return CborValidator.isValid(bytes, HEADER_BYTES, end) ? null : DropReason.MALFORMED;
    }

    private Datagram readFields(JsonParser in) throws IOException {
        String sender = null;
        long bootId = 0;
        long sequenceNumber = 0;
        SwimMessage message = null;
        boolean hasMessage = false;
        List<Member> updates = List.of();
        ItemCodec.DecodedItems items = new ItemCodec.DecodedItems(List.of(), 0);
        CborValues.expect(in, JsonToken.START_OBJECT);
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            switch (in.currentName()) {
                case DatagramFieldNames.SENDER -> sender = PacketCodec.readName(in);
                case DatagramFieldNames.BOOT_ID -> bootId = CborValues.readNumber(in);
                case DatagramFieldNames.SEQUENCE_NUMBER ->
                        sequenceNumber = CborValues.readNumber(in, 1, Item.MAX_VERSION);
                case DatagramFieldNames.MESSAGE -> {
                    message = PacketCodec.readMessage(in);
                    hasMessage = true;
                }
                case DatagramFieldNames.UPDATES -> updates = PacketCodec.readUpdates(in);
                case DatagramFieldNames.ITEMS -> items = ItemCodec.readItems(in);
                default -> skipField(in);
            }
        }
        requireFields(sender != null && sequenceNumber != 0 && hasMessage);
        countUnknown(message, items);
        return new Datagram(
                sender, bootId, sequenceNumber, packet(message, updates), items.items());
    }

    private static void requireFields(boolean hasAll) throws InvalidCborException {
        if (!hasAll) {
            throw new InvalidCborException(
                    "the sender, the sequence number or the message is missing");
        }
    }

    private static void skipField(JsonParser in) throws IOException {
        in.nextToken();
        in.skipChildren();
    }

    private void countUnknown(SwimMessage message, ItemCodec.DecodedItems items) {
        unknownMessageCount += message == null ? 1 : 0;
        unknownItemCount += items.unknownCount();
    }

    /** Replaces a message of unknown kind by gossip, since its updates and items are usable. */
    private static Packet packet(SwimMessage message, List<Member> updates) {
        return new Packet(message == null ? new SwimMessage.Gossip() : message, updates);
    }

    /**
     * Returns how many bytes of items fit into one datagram with a packet; negative if the packet
     * alone is too long.
     */
    public int itemBytesLeft(String sender, Packet packet) {
        // The boot ID and the sequence number are counted with their maximum size.
        Datagram withoutItems =
                new Datagram(sender, Long.MAX_VALUE, Long.MAX_VALUE, packet, List.of());
        return MAX_DATAGRAM_BYTES
                - SigningKeys.MAC_BYTES
                - HEADER_BYTES
                - encodeFields(withoutItems).length
                - LIST_HEAD_BYTES;
    }

    /** Returns the number of dropped datagrams for each reason that occurred. */
    public Map<DropReason, Long> dropCounts() {
        return new EnumMap<>(dropCounts);
    }

    /** Returns how many messages were skipped because this version does not know their kind. */
    public long unknownMessageCount() {
        return unknownMessageCount;
    }

    /** Returns how many items were skipped because this version does not know their kind. */
    public long unknownItemCount() {
        return unknownItemCount;
    }
}
