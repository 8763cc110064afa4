package loadbalancer.fleet.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.fleet.membership.Body;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;

/** Bodies and rumours as CBOR: arrays whose later additions stand behind what is known here. */
final class Packets {
    static final int LONGEST_NAME = 64;

    /** An IPv4 address with its port has 21 characters; a name of a host may have more. */
    static final int LONGEST_ADDRESS = 128;

    private Packets() {}

    static void write(JsonGenerator out, Body body) throws IOException {
        if (body instanceof Body.Ping p) {
            numbers(out, 4, 1, p.nonce());
            out.writeString(p.target());
            out.writeNumber(p.sentAt());
        } else if (body instanceof Body.Ack a) {
            numbers(out, 6, 2, a.nonce());
            out.writeString(a.about());
            out.writeNumber(a.pingSentAt());
            out.writeNumber(a.receivedAt());
            out.writeNumber(a.sentAt());
        } else if (body instanceof Body.PingRequest p) {
            numbers(out, 4, 3, p.nonce());
            out.writeString(p.target());
            out.writeString(p.address());
        } else if (body instanceof Body.Nack n) {
            numbers(out, 3, 4, n.nonce());
            out.writeString(n.about());
        } else if (body instanceof Body.Compare c) {
            numbers(out, 5, 5, c.nonce(), c.members(), c.items());
            out.writeBoolean(c.reply());
        } else {
            numbers(out, 1, 0);
        }
        out.writeEndArray();
    }

    private static void numbers(JsonGenerator out, int size, long... first) throws IOException {
        Cbor.array(out, size);
        for (long number : first) {
            out.writeNumber(number);
        }
    }

    /** Null for a kind that isn't known here. */
    static Body read(JsonParser in) throws IOException {
        Cbor.expect(in, JsonToken.START_ARRAY);
        Body body =
                switch ((int) Cbor.number(in, 0, Integer.MAX_VALUE)) {
                    case 0 -> new Body.Gossip();
                    case 1 -> new Body.Ping(Cbor.number(in), name(in), Cbor.number(in));
                    case 2 ->
                            new Body.Ack(
                                    Cbor.number(in),
                                    name(in),
                                    Cbor.number(in),
                                    Cbor.number(in),
                                    Cbor.number(in));
                    case 3 -> new Body.PingRequest(Cbor.number(in), name(in), address(in));
                    case 4 -> new Body.Nack(Cbor.number(in), name(in));
                    case 5 ->
                            new Body.Compare(
                                    Cbor.number(in),
                                    Cbor.number(in),
                                    Cbor.number(in),
                                    Cbor.truth(in));
                    default -> null;
                };
        Cbor.rest(in);
        return body;
    }

    static void write(JsonGenerator out, List<Member> rumours) throws IOException {
        Cbor.array(out, rumours.size());
        for (Member m : rumours) {
            Cbor.array(out, 6);
            out.writeString(m.name());
            out.writeString(m.address());
            out.writeString(m.zone());
            out.writeNumber(m.incarnation());
            out.writeNumber(m.boot());
            out.writeNumber(m.health().ordinal());
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    static List<Member> members(JsonParser in) throws IOException {
        Cbor.expect(in, JsonToken.START_ARRAY);
        List<Member> members = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.START_ARRAY) {
                throw new IOException("expected a member");
            }
            members.add(
                    new Member(
                            name(in),
                            address(in),
                            Cbor.text(in, 0, LONGEST_NAME),
                            Cbor.number(in, 0, Long.MAX_VALUE),
                            Cbor.number(in),
                            Health.values()[(int) Cbor.number(in, 0, Health.values().length - 1)]));
            Cbor.rest(in);
        }
        return members;
    }

    static String name(JsonParser in) throws IOException {
        return Cbor.text(in, 1, LONGEST_NAME);
    }

    private static String address(JsonParser in) throws IOException {
        return Cbor.text(in, 1, LONGEST_ADDRESS);
    }
}
