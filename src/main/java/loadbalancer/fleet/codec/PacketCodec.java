package loadbalancer.fleet.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.SwimMessage;

/**
 * Encodes and decodes messages and updates as CBOR arrays. Additional values at the end of an
 * array, which a later version may have added, are skipped. Stateless.
 */
final class PacketCodec {
    private static final int MAX_NAME_CHARS = 64;

    /** An IPv4 address with its port has 21 characters; a host name may have more. */
    private static final int MAX_ADDRESS_CHARS = 128;

    // Message kinds on the wire.
    private static final int GOSSIP = 0;
    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int PING_REQUEST = 3;
    private static final int NACK = 4;
    private static final int DIGEST = 5;

    // Number of elements in each array, including the kind.
    private static final int GOSSIP_SIZE = 1;
    private static final int PING_SIZE = 4;
    private static final int ACK_SIZE = 6;
    private static final int PING_REQUEST_SIZE = 4;
    private static final int NACK_SIZE = 3;
    private static final int DIGEST_SIZE = 5;
    private static final int UPDATE_SIZE = 6;

    private PacketCodec() {}

    static void writeMessage(JsonGenerator out, SwimMessage message) throws IOException {
        if (message instanceof SwimMessage.Ping ping) {
            startMessage(out, PING_SIZE, PING, ping.nonce());
            out.writeString(ping.target());
            out.writeNumber(ping.sentAtMicros());
        } else if (message instanceof SwimMessage.Ack ack) {
            startMessage(out, ACK_SIZE, ACK, ack.nonce());
            out.writeString(ack.target());
            out.writeNumber(ack.pingSentAtMicros());
            out.writeNumber(ack.receivedAtMicros());
            out.writeNumber(ack.sentAtMicros());
        } else if (message instanceof SwimMessage.PingRequest request) {
            startMessage(out, PING_REQUEST_SIZE, PING_REQUEST, request.nonce());
            out.writeString(request.target());
            out.writeString(request.targetAddress());
        } else if (message instanceof SwimMessage.Nack nack) {
            startMessage(out, NACK_SIZE, NACK, nack.nonce());
            out.writeString(nack.target());
        } else if (message instanceof SwimMessage.Digest digest) {
            startMessage(out, DIGEST_SIZE, DIGEST, digest.nonce());
            out.writeNumber(digest.membersHash());
            out.writeNumber(digest.itemsHash());
            out.writeBoolean(digest.replyRequested());
        } else {
            CborValues.startArray(out, GOSSIP_SIZE);
            out.writeNumber(GOSSIP);
        }
        out.writeEndArray();
    }

    private static void startMessage(JsonGenerator out, int size, int kind, long nonce)
            throws IOException {
        CborValues.startArray(out, size);
        out.writeNumber(kind);
        out.writeNumber(nonce);
    }

    /** Reads a message; returns null for an unknown kind. */
    static SwimMessage readMessage(JsonParser in) throws IOException {
        CborValues.expect(in, JsonToken.START_ARRAY);
        int kind = (int) CborValues.readNumber(in, 0, Integer.MAX_VALUE);
        SwimMessage message =
                switch (kind) {
                    case GOSSIP -> new SwimMessage.Gossip();
                    case PING ->
                            new SwimMessage.Ping(
                                    CborValues.readNumber(in),
                                    readName(in),
                                    CborValues.readNumber(in));
                    case ACK -> readAck(in);
                    case PING_REQUEST ->
                            new SwimMessage.PingRequest(
                                    CborValues.readNumber(in), readName(in), readAddress(in));
                    case NACK -> new SwimMessage.Nack(CborValues.readNumber(in), readName(in));
                    case DIGEST -> readDigest(in);
                    default -> null;
                };
        CborValues.skipRestOfArray(in);
        return message;
    }

    private static SwimMessage readAck(JsonParser in) throws IOException {
        return new SwimMessage.Ack(
                CborValues.readNumber(in),
                readName(in),
                CborValues.readNumber(in),
                CborValues.readNumber(in),
                CborValues.readNumber(in));
    }

    private static SwimMessage readDigest(JsonParser in) throws IOException {
        return new SwimMessage.Digest(
                CborValues.readNumber(in),
                CborValues.readNumber(in),
                CborValues.readNumber(in),
                CborValues.readBoolean(in));
    }

    static void writeUpdates(JsonGenerator out, List<Member> updates) throws IOException {
        CborValues.startArray(out, updates.size());
        for (Member member : updates) {
            CborValues.startArray(out, UPDATE_SIZE);
            out.writeString(member.name());
            out.writeString(member.address());
            out.writeString(member.zone());
            out.writeNumber(member.incarnation());
            out.writeNumber(member.bootId());
            out.writeNumber(member.health().ordinal());
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    static List<Member> readUpdates(JsonParser in) throws IOException {
        CborValues.expect(in, JsonToken.START_ARRAY);
        List<Member> updates = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.START_ARRAY) {
                throw new InvalidCborException("expected a member, which is an array");
            }
            updates.add(
                    new Member(
                            readName(in),
                            readAddress(in),
                            CborValues.readText(in, 0, MAX_NAME_CHARS),
                            CborValues.readNumber(in, 0, Long.MAX_VALUE),
                            CborValues.readNumber(in),
                            readHealth(in)));
            CborValues.skipRestOfArray(in);
        }
        return updates;
    }

    private static Health readHealth(JsonParser in) throws IOException {
        Health[] values = Health.values();
        return values[(int) CborValues.readNumber(in, 0, values.length - 1)];
    }

    static String readName(JsonParser in) throws IOException {
        return CborValues.readText(in, 1, MAX_NAME_CHARS);
    }

    private static String readAddress(JsonParser in) throws IOException {
        return CborValues.readText(in, 1, MAX_ADDRESS_CHARS);
    }
}
