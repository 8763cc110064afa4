package loadbalancer.control.store;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Revision;

/**
 * A record of the log, which is an accepted change or the start of an epoch.
 *
 * @param revision the revision of the state after the record; the start of an epoch keeps the
 *     number of the previous revision
 * @param change the accepted change; null for the start of an epoch
 */
record LogRecord(Revision revision, @JsonInclude(JsonInclude.Include.NON_NULL) Change change) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Reads strictly, so that unknown fields are not silently omitted from the state. */
    private static final ObjectReader READER =
            MAPPER.readerFor(LogRecord.class)
                    .with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    static LogRecord epochStart(Revision revision) {
        return new LogRecord(revision, null);
    }

    byte[] encode() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("log record can't be serialized as JSON", e);
        }
    }

    /**
     * Reads a record written by {@link #encode}.
     *
     * @throws MalformedRecordException if the payload is not such a record
     */
    static LogRecord decode(byte[] payload) throws MalformedRecordException {
        LogRecord record;
        try {
            record = READER.readValue(payload);
        } catch (IOException e) {
            throw new MalformedRecordException(e);
        }
        if (record == null || record.revision == null) {
            throw new MalformedRecordException("field \"revision\" of the log record is missing");
        }
        return record;
    }

    boolean startsEpoch() {
        return change == null;
    }

    /** Returns whether this record may directly follow the record of revision {@code before}. */
    boolean follows(Revision before) {
        if (startsEpoch()) {
            return revision.epoch() > before.epoch() && revision.number() == before.number();
        }
        return revision.equals(before.next());
    }
}
