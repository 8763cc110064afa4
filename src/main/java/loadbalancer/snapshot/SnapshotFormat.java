package loadbalancer.snapshot;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.ClassSnapshot;
import loadbalancer.EndpointSnapshot;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancerSnapshot;

/**
 * A snapshot as bytes: a line {@code yewyoke-state VERSION LENGTH CRC32C}, and that many bytes of
 * JSON. Lists of upstreams and classes are arrays of arrays, so that ten thousand servers stay
 * below 2 MB.
 */
public final class SnapshotFormat {
    /** Of the form that is written; others are refused. */
    public static final int VERSION = 1;

    /** Larger ones are neither written nor read. */
    public static final int MOST_BYTES = 4 << 20;

    private static final Envelope ENVELOPE =
            new Envelope("yewyoke-state", "snapshot", VERSION, MOST_BYTES);
    private static final JsonFactory JSON = new JsonFactory();
    private static final MathContext DIGITS = new MathContext(5);

    private SnapshotFormat() {}

    /** The bytes of a snapshot; refused if there are too many. */
    public static byte[] write(Snapshot s) throws InvalidSnapshotException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(body)) {
            out.writeStartObject();
            out.writeNumberField("saved_ms", s.savedMs());
            out.writeStringField("discovery", s.discovery());
            out.writeNumberField("version", s.version());
            out.writeNumberField("quiet_ms", s.quietMs());
            entries(out, s.entries());
            memory(out, s.memory());
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // there is no I/O in memory
        }
        return ENVELOPE.around(body.toByteArray());
    }

    private static void entries(JsonGenerator out, List<Snapshot.Entry> entries)
            throws IOException {
        out.writeArrayFieldStart("servers");
        for (Snapshot.Entry e : entries) {
            out.writeStartArray();
            out.writeString(e.id());
            out.writeString(e.addr());
            out.writeString(e.zone());
            out.writeString(e.kind());
            out.writeNumber(e.cell());
            out.writeString(stateName(e.state()));
            number(out, e.weight());
            out.writeNumber(e.startedMs());
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    private static void memory(JsonGenerator out, LoadBalancerSnapshot m) throws IOException {
        out.writeArrayFieldStart("learnt");
        for (double d :
                new double[] {
                    m.responseTimeMicros(),
                    m.responseTimePerQueuedMicros(),
                    m.unitDurationMicros(),
                    m.warmWorkRate(),
                    m.requestCostMicros(),
                    m.requestsPerSecond()
                }) {
            number(out, d);
        }
        out.writeEndArray();
        out.writeArrayFieldStart("classes");
        for (ClassSnapshot c : m.classes()) {
            out.writeStartArray();
            out.writeString(c.name());
            number(out, c.responseTimeMicros());
            number(out, c.rejectedAfterMicros());
            out.writeEndArray();
        }
        out.writeEndArray();
        out.writeArrayFieldStart("upstreams");
        for (EndpointSnapshot k : m.endpoints()) {
            out.writeStartArray();
            out.writeString(k.id());
            out.writeNumber(k.launchedAtMicros());
            out.writeNumber(k.sinceLastResponseMicros());
            for (double d :
                    new double[] {
                        k.logWeight(),
                        k.concurrencyLimit(),
                        k.minUnitDurationMicros(),
                        k.responseTimeMicros(),
                        k.responseTimePerQueuedMicros(),
                        k.errorRatio()
                    }) {
                number(out, d);
            }
            out.writeNumber(k.ejectionLeftMicros());
            out.writeNumber(k.nextEjectionMicros());
            number(out, k.completedWorkRate());
            number(out, k.slowStartTokens());
            out.writeNumber(k.inFlightRequests());
            out.writeEndArray();
        }
        out.writeEndArray();
    }

    /** Five digits are more than any of these figures is worth. */
    private static void number(JsonGenerator out, double d) throws IOException {
        out.writeNumber(
                Double.isFinite(d)
                        ? new BigDecimal(d, DIGITS).stripTrailingZeros().toString()
                        : "0");
    }

    /** Reads a snapshot; one that is torn, foreign, newer or too large is refused. */
    public static Snapshot read(byte[] all) throws InvalidSnapshotException {
        int from = ENVELOPE.open(all);
        try (JsonParser in = JSON.createParser(all, from, all.length - from)) {
            return read(in);
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidSnapshotException(
                    "not understood: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    private static Snapshot read(JsonParser in) throws IOException {
        long saved = 0;
        String discovery = "";
        long version = 0;
        long quiet = -1;
        List<Snapshot.Entry> entries = new ArrayList<>();
        double[] learnt = new double[6];
        List<ClassSnapshot> classes = new ArrayList<>();
        List<EndpointSnapshot> upstreams = new ArrayList<>();
        in.nextToken();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "saved_ms" -> saved = in.getLongValue();
                case "discovery" -> discovery = in.getText();
                case "version" -> version = in.getLongValue();
                case "quiet_ms" -> quiet = in.getLongValue();
                case "learnt" -> {
                    for (int i = 0; in.nextToken() != JsonToken.END_ARRAY; i++) {
                        learnt[i] = in.getDoubleValue();
                    }
                }
                case "servers" -> rows(in, () -> entries.add(entry(in)));
                case "classes" ->
                        rows(
                                in,
                                () -> classes.add(new ClassSnapshot(text(in), real(in), real(in))));
                case "upstreams" -> rows(in, () -> upstreams.add(known(in)));
                default -> in.skipChildren();
            }
        }
        return new Snapshot(
                saved,
                discovery,
                version,
                quiet,
                entries,
                new LoadBalancerSnapshot(
                        learnt[0], learnt[1], learnt[2], learnt[3], learnt[4], learnt[5], classes,
                        upstreams));
    }

    private interface Row {
        void read() throws IOException;
    }

    private static void rows(JsonParser in, Row row) throws IOException {
        while (in.nextToken() == JsonToken.START_ARRAY) {
            row.read();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                in.skipChildren(); // of a later program, which knew more
            }
        }
    }

    private static Snapshot.Entry entry(JsonParser in) throws IOException {
        return new Snapshot.Entry(
                text(in),
                text(in),
                text(in),
                text(in),
                (int) whole(in),
                state(text(in)),
                real(in),
                whole(in));
    }

    private static EndpointSnapshot known(JsonParser in) throws IOException {
        return new EndpointSnapshot(
                text(in),
                whole(in),
                whole(in),
                real(in),
                real(in),
                real(in),
                real(in),
                real(in),
                real(in),
                whole(in),
                whole(in),
                real(in),
                real(in),
                (int) whole(in));
    }

    private static String stateName(EndpointState state) {
        return switch (state) {
            case READY -> "READY";
            case DRAINING -> "DRAINING";
            case REMOVED -> "GONE";
        };
    }

    private static EndpointState state(String name) {
        return switch (name) {
            case "READY" -> EndpointState.READY;
            case "DRAINING" -> EndpointState.DRAINING;
            case "GONE" -> EndpointState.REMOVED;
            default -> throw new IllegalArgumentException("unknown state " + name);
        };
    }

    private static String text(JsonParser in) throws IOException {
        in.nextToken();
        return in.getText();
    }

    private static long whole(JsonParser in) throws IOException {
        in.nextToken();
        return in.getLongValue();
    }

    private static double real(JsonParser in) throws IOException {
        in.nextToken();
        return in.getDoubleValue();
    }
}
