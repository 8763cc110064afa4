package loadbalancer.http1.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import loadbalancer.control.model.InvalidChangeException;

/**
 * Encodes and decodes statuses, reports and accepted changes as one line of JSON each. Unknown
 * fields are ignored, so that a later version may add some.
 */
public final class MessageCodec {
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
                    .configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true);

    private MessageCodec() {}

    /** Encodes a status as one line of JSON without a line end. */
    public static byte[] encode(ControlStatus status) {
        return write(status);
    }

    /** Encodes a report as one line of JSON without a line end. */
    public static byte[] encode(ControlServerReport report) {
        return write(report);
    }

    /** Encodes the result of an accepted change as one line of JSON without a line end. */
    public static byte[] encode(ChangeResult.Accepted accepted) {
        return write(accepted);
    }

    /**
     * Decodes the response to an accepted change.
     *
     * @throws InvalidChangeException if the JSON is invalid or lacks the revision
     */
    public static ChangeResult.Accepted readAccepted(byte[] json) throws InvalidChangeException {
        ChangeResult.Accepted accepted = read(ChangeResult.Accepted.class, "response", json);
        if (accepted.revision() == null) {
            throw new InvalidChangeException("response", "field \"revision\" is missing");
        }
        return accepted;
    }

    /**
     * Decodes a status.
     *
     * @throws InvalidChangeException if the JSON is invalid or lacks a required field
     */
    public static ControlStatus readStatus(byte[] json) throws InvalidChangeException {
        ControlStatus status = read(ControlStatus.class, "status", json);
        if (status.revision() == null || status.distribution() == null) {
            throw new InvalidChangeException(
                    "status", "field \"revision\" or \"distribution\" is missing");
        }
        return status;
    }

    /**
     * Decodes a report.
     *
     * @throws InvalidChangeException if the JSON is invalid or lacks a required field
     */
    public static ControlServerReport readReport(byte[] json) throws InvalidChangeException {
        ControlServerReport report = read(ControlServerReport.class, "report", json);
        boolean complete =
                report.machine() != null
                        && report.distribution() != null
                        && report.distribution().latest() != null
                        && report.distribution().oldestInForce() != null
                        && report.distribution().rejections() != null;
        if (!complete) {
            throw new InvalidChangeException(
                    "report", "lacks machine or distribution, or a part of it");
        }
        return report;
    }

    private static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not encode a control message as JSON", e);
        }
    }

    private static <T> T read(Class<T> type, String what, byte[] json)
            throws InvalidChangeException {
        try {
            T value = MAPPER.readValue(json, type);
            if (value == null) {
                throw new InvalidChangeException(what, "expected a JSON object");
            }
            return value;
        } catch (IOException e) {
            throw new InvalidChangeException(what, "not the JSON that was expected");
        }
    }
}
