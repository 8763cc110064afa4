package loadbalancer.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import loadbalancer.LoadBalancerActions;

/** Writes the actions of all instances that follow from one batch into its reply. */
final class ReplyWriter {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int INITIAL_REPLY_BYTES = 1 << 14;
    private static final int DIGITS_OF_MICROS = 6;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_REPLY_BYTES);
    private JsonGenerator json;

    /** Writes the fields of an action. */
    interface FieldWriter {
        void write(JsonGenerator json) throws IOException;
    }

    /** Begins a reply. */
    void begin() throws IOException {
        bytes.reset();
        json = JSON.createGenerator(bytes);
        json.writeStartObject();
        json.writeArrayFieldStart(WireFieldNames.ACTIONS);
    }

    /** Ends the reply and returns its line; valid until the next one begins. */
    ByteArrayOutputStream end() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
        json.close();
        bytes.write('\n');
        return bytes;
    }

    /** Returns the sink for the actions of one instance. */
    LoadBalancerActions actionsOf(int instance) {
        return new ActionWriter(this, instance);
    }

    /** Reports a bug of one instance. */
    void reportBug(int instance, String description) {
        writeAction(
                instance,
                WireFieldNames.REPORT_BUG,
                fields -> fields.writeStringField(WireFieldNames.TEXT, description));
    }

    void writeAction(int instance, String kind, FieldWriter fields) {
        try {
            json.writeStartObject();
            json.writeStringField(WireFieldNames.KIND, kind);
            json.writeNumberField(WireFieldNames.INSTANCE, instance);
            fields.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // there is no I/O in memory
        }
    }

    /** Writes a time in seconds. */
    static void writeSeconds(JsonGenerator json, String fieldName, long micros) throws IOException {
        json.writeFieldName(fieldName);
        json.writeNumber(BigDecimal.valueOf(micros, DIGITS_OF_MICROS).toPlainString());
    }
}
