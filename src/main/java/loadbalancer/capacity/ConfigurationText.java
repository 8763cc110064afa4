package loadbalancer.capacity;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;

/** A balancer's configuration file of a size, as docs/configuration.md describes it. */
final class ConfigurationText {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int ZONES = 5;
    private static final int GROUP = 860;
    private static final int SOCKETS = 1_024;

    private static final List<String> PRICES =
            List.of("cross-zone", "waste", "probe", "peer", "late-fail", "handshake");

    /** Nobody listens there. */
    private static final String DISCOVERY = "127.0.0.1:9";

    private final int upstreams;
    private final int tenants;
    private final int port;

    ConfigurationText(int upstreams, int tenants) {
        this(upstreams, tenants, 0);
    }

    /** The same for a balancer that listens at a port. */
    ConfigurationText(int upstreams, int tenants, int port) {
        this.upstreams = upstreams;
        this.tenants = tenants;
        this.port = port;
    }

    byte[] bytes() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeStringField("listen", "127.0.0.1:" + port);
            out.writeStringField("discovery", DISCOVERY);
            out.writeStringField("seed", "1f");
            out.writeObjectFieldStart("limits");
            out.writeNumberField("sockets", SOCKETS);
            out.writeEndObject();
            writeList(out);
            writeSettings(out);
            out.writeEndObject();
        }
        return bytes.toByteArray();
    }

    private void writeList(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart("known");
        out.writeNumberField("version", 1);
        out.writeBooleanField("full", true);
        out.writeArrayFieldStart("servers");
        for (int i = 0; i < upstreams; i++) {
            out.writeStartObject();
            out.writeStringField("id", "upstream-" + i);
            out.writeStringField("addr", "127.1." + i / 250 + '.' + (1 + i % 250) + ":8080");
            out.writeStringField("zone", "zone-" + i % ZONES);
            out.writeStringField("kind", "standard");
            out.writeNumberField("cell", i % 2);
            out.writeStringField("state", "Ready");
            out.writeNumberField("weight", 1.0);
            out.writeNumberField("started_ms", 1_790_000_000_000L);
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    private void writeSettings(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart("settings");
        out.writeNumberField("az", 0);
        writeZones(out);
        out.writeNumberField("position", 0);
        out.writeNumberField("group-size", GROUP);
        writeClass(out);
        writeTenants(out);
        out.writeNumberField("over-share-worth", 1);
        writeLimits(out);
        writeRules(out);
        writePrices(out);
        writeReport(out);
        out.writeStringField("weights", "nominal");
        out.writeStringField("discovery", "pushed");
        out.writeNumberField("tick-s", 0.005);
        out.writeEndObject();
    }

    private static void writeLimits(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart("ceilings");
        out.writeNumberField("try-limit", 3);
        out.writeBooleanField("may-duplicate", false);
        out.writeBooleanField("cancel", true);
        out.writeBooleanField("probes", false);
        out.writeBooleanField("peers", false);
        out.writeNumberField("max-open", 0);
        out.writeBooleanField("retry-after", false);
        out.writeNumberField("max-retry-after-s", 0);
        out.writeNumberField("connect-timeout-s", 0.25);
        out.writeNumberField("conn-idle-s", 30);
        out.writeNumberField("multiplex", 1);
        out.writeEndObject();
    }

    private static void writeRules(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart("rules");
        out.writeNumberField("answer-slack-s", 0);
        out.writeNumberField("ask-within-s", 0);
        out.writeNumberField("drain-grace-s", 0);
        out.writeNumberField("cold-s", 0);
        out.writeNumberField("start-capacity", 1);
        out.writeNumberField("fall-multiple", 1);
        out.writeNumberField("fall-s", 0);
        out.writeEndObject();
    }

    private static void writePrices(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart("prices");
        for (String price : PRICES) {
            out.writeNumberField(price, 0);
        }
        out.writeEndObject();
    }

    private static void writeReport(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart("report");
        out.writeArrayFieldStart("names");
        out.writeEndArray();
        out.writeStringField("via", "piggyback");
        out.writeEndObject();
    }

    private static void writeZones(JsonGenerator out) throws IOException {
        out.writeArrayFieldStart("localities");
        for (int i = 0; i < ZONES; i++) {
            out.writeString("zone-" + i);
        }
        out.writeEndArray();
        out.writeArrayFieldStart("kinds");
        out.writeString("standard");
        out.writeEndArray();
    }

    private static void writeClass(JsonGenerator out) throws IOException {
        out.writeArrayFieldStart("classes");
        out.writeStartObject();
        out.writeStringField("name", "lookup");
        out.writeStringField("repeat", "free");
        out.writeNumberField("aim-s", 1);
        out.writeNumberField("give-up-s", 2);
        out.writeNumberField("worth", 1);
        out.writeNumberField("late-worth", 0);
        out.writeEndObject();
        out.writeEndArray();
    }

    private void writeTenants(JsonGenerator out) throws IOException {
        out.writeArrayFieldStart("parties");
        for (int i = 0; i < tenants; i++) {
            out.writeStartObject();
            out.writeStringField("name", "tenant-" + i);
            out.writeNumberField("share", 1.0 / tenants);
            out.writeNumberField("allowance-per-s", 100);
            out.writeEndObject();
        }
        out.writeEndArray();
    }
}
