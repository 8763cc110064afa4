package loadbalancer.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import loadbalancer.LoadBalancerActions;

/** Writes the reply to a batch: the actions of all instances that result from its events. */
final class ReplyWriter {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int INITIAL_REPLY_BYTES = 1 << 14;
    private static final int MICROS_SCALE = 6;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_REPLY_BYTES);
    private JsonGenerator json;

    /** Writes the fields of an action that are specific to its kind. */
    interface FieldWriter {
        void write(JsonGenerator json) throws IOException;
    }

    /** Starts a reply. */
    void begin() throws IOException {
        bytes.reset();
        json = JSON.createGenerator(bytes);
        json.writeStartObject();
        json.writeArrayFieldStart(WireFieldNames.ACTIONS);
    }

    /** Ends the reply and returns it as one line, which is valid until the next reply starts. */
    ByteArrayOutputStream end() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
        json.close();
        bytes.write('\n');
        return bytes;
    }

    /** Returns the receiver of one instance's actions, which writes them to the reply. */
    LoadBalancerActions actionsOf(int instance) {
        return new ActionWriter(this, instance);
    }

    /** Writes an action that reports a bug of one instance to the simulator. */
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
            throw new UncheckedIOException(e); // unreachable: the output is in memory
        }
    }

    /** Writes a time, given in microseconds, as a number of seconds. */
    static void writeSeconds(JsonGenerator json, String fieldName, long micros) throws IOException {
        json.writeFieldName(fieldName);
        json.writeNumber(BigDecimal.valueOf(micros, MICROS_SCALE).toPlainString());
    }
}
