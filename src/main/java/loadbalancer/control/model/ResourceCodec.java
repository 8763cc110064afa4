package loadbalancer.control.model;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;

/**
 * Encodes and decodes changes, resources and messages as JSON, one line each. Changes are read
 * strictly, because an unknown field is an operator's mistake. Messages between processes are read
 * leniently, so that a later version may add fields. Stateless and thread-safe.
 */
public final class ResourceCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ObjectReader STRICT =
            MAPPER.reader()
                    .with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final ObjectReader LENIENT =
            MAPPER.reader()
                    .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final ObjectWriter RESOURCE = MAPPER.writerFor(VersionedResource.class);
    private static final ObjectWriter PLAIN = MAPPER.writer();

    private ResourceCodec() {}

    /**
     * Returns the canonical JSON of a resource with its revision: the order of the fields is fixed
     * and there is no white space.
     */
    public static byte[] encode(VersionedResource resource) {
        return write(RESOURCE, resource);
    }

    /** Encodes an update part as one line without a line terminator. */
    public static byte[] encode(UpdatePart part) {
        return write(PLAIN, part);
    }

    /** Encodes an acknowledgement as one line without a line terminator. */
    public static byte[] encode(Acknowledgement acknowledgement) {
        return write(PLAIN, acknowledgement);
    }

    /** Encodes a change as one line without a line terminator. */
    public static byte[] encode(Change change) {
        return write(PLAIN, change);
    }

    /** Encodes a resource identifier as one line without a line terminator. */
    public static byte[] encode(ResourceId id) {
        return write(PLAIN, id);
    }

    /** Returns the XXH3 hash of canonical JSON. */
    static long hash(byte[] canonical) {
        return Hashing.xxh3_64().hashBytesToLong(canonical);
    }

    /** Returns the hash that a resource contributes to a {@link Digest}. */
    public static long hash(VersionedResource resource) {
        return hash(encode(resource));
    }

    /**
     * Reads a change written by an operator.
     *
     * @throws InvalidChangeException if it is malformed, or a field is unknown or of the wrong type
     */
    public static Change readChange(byte[] json) throws InvalidChangeException {
        return read(STRICT, Change.class, "change", json);
    }

    /**
     * Reads an update part, which is one line of a subscription.
     *
     * @throws InvalidChangeException if the line is malformed
     */
    public static UpdatePart readUpdatePart(byte[] json) throws InvalidChangeException {
        UpdatePart part = read(LENIENT, UpdatePart.class, "update", json);
        if (part.from() == null || part.part() < 0) {
            throw new InvalidChangeException(
                    "update", "field \"from\" is missing or field \"part\" is negative");
        }
        return part;
    }

    /**
     * Reads an acknowledgement.
     *
     * @throws InvalidChangeException if the message is malformed
     */
    public static Acknowledgement readAcknowledgement(byte[] json) throws InvalidChangeException {
        Acknowledgement read = read(LENIENT, Acknowledgement.class, "acknowledgement", json);
        if (read.subscriber() == null
                || read.status() == null
                || read.inForce() == null
                || read.digest() == null) {
            throw new InvalidChangeException(
                    "acknowledgement", "subscriber, status, inForce or digest is missing");
        }
        return read;
    }

    /**
     * Reads a resource with its revision, as written by {@link #encode(VersionedResource)}.
     *
     * @throws InvalidChangeException if the JSON is malformed or incomplete
     */
    public static VersionedResource readResource(byte[] json) throws InvalidChangeException {
        VersionedResource read = read(LENIENT, VersionedResource.class, "resource", json);
        if (read.revision() == null || read.resource() == null) {
            throw new InvalidChangeException(
                    "resource", "field \"revision\" or \"resource\" is missing");
        }
        ResourceId id = read.id();
        if (id.service() == null || id.name() == null) {
            throw new InvalidChangeException("resource", "the service or the name is missing");
        }
        return read;
    }

    /**
     * Reads a value of another type of this package leniently.
     *
     * @param what the beginning of the place that an exception reports
     * @throws InvalidChangeException if the JSON is malformed
     */
    static <T> T readValue(Class<T> type, String what, byte[] json) throws InvalidChangeException {
        return read(LENIENT, type, what, json);
    }

    /** Writes a value of another type of this package as one line without a line terminator. */
    static byte[] writeValue(Object value) {
        return write(PLAIN, value);
    }

    private static byte[] write(ObjectWriter writer, Object value) {
        try {
            return writer.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("value can't be serialized as JSON", e);
        }
    }

    private static <T> T read(ObjectReader reader, Class<T> type, String what, byte[] json)
            throws InvalidChangeException {
        try {
            T value = reader.forType(type).readValue(json);
            if (value == null) {
                throw new InvalidChangeException(what, "expected a JSON object");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new InvalidChangeException(place(what, e), firstLine(e.getOriginalMessage()));
        } catch (IOException e) {
            throw new InvalidChangeException(what, "can't be read");
        }
    }

    private static String place(String what, JsonProcessingException failure) {
        StringBuilder place = new StringBuilder(what);
        if (failure instanceof JsonMappingException mapping) {
            mapping.getPath()
                    .forEach(
                            step ->
                                    place.append(
                                            step.getFieldName() == null
                                                    ? "[" + step.getIndex() + "]"
                                                    : "." + step.getFieldName()));
        }
        if (failure.getLocation() != null) {
            place.append(" line ").append(failure.getLocation().getLineNr());
            place.append(" column ").append(failure.getLocation().getColumnNr());
        }
        return place.toString();
    }

    private static String firstLine(String message) {
        return message == null
                ? "malformed JSON"
                : message.lines().findFirst().orElse("malformed JSON");
    }
}
