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
 * JSON of changes, resources and messages, each on one line. Changes are read strictly: an unknown
 * field is an operator's mistake. Messages between processes are read leniently, so that a later
 * version may add fields. Stateless; for any thread.
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
     * The canonical JSON of a resource with its revision: fixed order of fields, no white space.
     */
    public static byte[] encode(VersionedResource resource) {
        return write(RESOURCE, resource);
    }

    /** One line without its line end. */
    public static byte[] encode(UpdatePart part) {
        return write(PLAIN, part);
    }

    /** One line without its line end. */
    public static byte[] encode(Acknowledgement acknowledgement) {
        return write(PLAIN, acknowledgement);
    }

    /** One line without its line end. */
    public static byte[] encode(Change change) {
        return write(PLAIN, change);
    }

    /** One line without its line end. */
    public static byte[] encode(ResourceId id) {
        return write(PLAIN, id);
    }

    /** The XXH3 hash of canonical JSON. */
    static long hash(byte[] canonical) {
        return Hashing.xxh3_64().hashBytesToLong(canonical);
    }

    /** The hash by which a resource counts in a {@link Digest}. */
    public static long hash(VersionedResource resource) {
        return hash(encode(resource));
    }

    /**
     * Reads a change as an operator wrote it.
     *
     * @throws InvalidChangeException if a field is unknown or of the wrong type
     */
    public static Change readChange(byte[] json) throws InvalidChangeException {
        return read(STRICT, Change.class, "change", json);
    }

    /**
     * Reads one line of a subscription.
     *
     * @throws InvalidChangeException if it is malformed
     */
    public static UpdatePart readUpdatePart(byte[] json) throws InvalidChangeException {
        UpdatePart part = read(LENIENT, UpdatePart.class, "update", json);
        if (part.from() == null || part.part() < 0) {
            throw new InvalidChangeException(
                    "update", "lacks the revision it builds on or its number");
        }
        return part;
    }

    /**
     * Reads an acknowledgement.
     *
     * @throws InvalidChangeException if it is malformed
     */
    public static Acknowledgement readAcknowledgement(byte[] json) throws InvalidChangeException {
        Acknowledgement read = read(LENIENT, Acknowledgement.class, "acknowledgement", json);
        if (read.subscriber() == null
                || read.status() == null
                || read.inForce() == null
                || read.digest() == null) {
            throw new InvalidChangeException(
                    "acknowledgement", "lacks subscriber, status, inForce or digest");
        }
        return read;
    }

    /**
     * Reads one resource with its revision, as {@link #encode(VersionedResource)} wrote it.
     *
     * @throws InvalidChangeException if it is malformed
     */
    public static VersionedResource readResource(byte[] json) throws InvalidChangeException {
        VersionedResource read = read(LENIENT, VersionedResource.class, "resource", json);
        if (read.revision() == null || read.resource() == null) {
            throw new InvalidChangeException("resource", "lacks its revision or its content");
        }
        ResourceId id = read.id();
        if (id.service() == null || id.name() == null) {
            throw new InvalidChangeException("resource", "lacks its service or its name");
        }
        return read;
    }

    /**
     * Reads any other value of this package leniently.
     *
     * @param what the start of the place in an exception
     * @throws InvalidChangeException if it is malformed
     */
    static <T> T readValue(Class<T> type, String what, byte[] json) throws InvalidChangeException {
        return read(LENIENT, type, what, json);
    }

    /** Writes any other value of this package as one line without its line end. */
    static byte[] writeValue(Object value) {
        return write(PLAIN, value);
    }

    private static byte[] write(ObjectWriter writer, Object value) {
        try {
            return writer.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a resource that can't be written as JSON", e);
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
                ? "not readable"
                : message.lines().findFirst().orElse("not readable");
    }
}
