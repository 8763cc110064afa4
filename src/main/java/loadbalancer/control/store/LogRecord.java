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
 * One record of the log: an accepted change, or the start of an epoch.
 *
 * @param revision that the state has afterwards; at the start of an epoch the number stays
 * @param change that was accepted; null at the start of an epoch
 */
record LogRecord(Revision revision, @JsonInclude(JsonInclude.Include.NON_NULL) Change change) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Strict: what this version does not know must not silently be left out of the state. */
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
            throw new IllegalStateException("a record that can't be written as JSON", e);
        }
    }

    /**
     * Reads what {@link #encode} wrote.
     *
     * @throws MalformedRecordException on anything else
     */
    static LogRecord decode(byte[] payload) throws MalformedRecordException {
        LogRecord record;
        try {
            record = READER.readValue(payload);
        } catch (IOException e) {
            throw new MalformedRecordException(e);
        }
        if (record == null || record.revision == null) {
            throw new MalformedRecordException("a record without revision");
        }
        return record;
    }

    boolean startsEpoch() {
        return change == null;
    }

    /** Whether this may be the record after the one that led to that revision. */
    boolean follows(Revision before) {
        if (startsEpoch()) {
            return revision.epoch() > before.epoch() && revision.number() == before.number();
        }
        return revision.equals(before.next());
    }
}
