package loadbalancer.control.model;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;

/**
 * The file format of a complete {@link ResourceState}: one header line, then one line for each
 * resource, in no particular order. Every line is JSON and ends with a line feed. Stateless.
 *
 * <pre>
 * {"format":1,"revision":"3.18","resources":1,"digest":"00c0ffee00c0ffee","checksum":"0123456789abcdef"}
 * {"revision":"3.18","resource":{"kind":"tenant",...}}
 * </pre>
 *
 * The digest covers {@link Scope#ALL}; the checksum is the XXH3 hash of the header with a null
 * checksum. Corruption, truncation and other formats are rejected, each with its own message.
 */
public final class ResourceStateFormat {
    /** The format number that is written; files with any other number are rejected. */
    public static final int FORMAT = 1;

    private static final char LINE_END = '\n';

    private ResourceStateFormat() {}

    /** The one header field that every format has. */
    private record FormatNumber(int format) {}

    private record Header(
            int format, Revision revision, int resources, Digest digest, Digest checksum) {
        static Header of(Revision revision, int resources, Digest digest) {
            return new Header(
                    FORMAT, revision, resources, digest, checksum(revision, resources, digest));
        }

        boolean isIntact() {
            return revision != null
                    && digest != null
                    && checksum(revision, resources, digest).equals(checksum);
        }

        private static Digest checksum(Revision revision, int resources, Digest digest) {
            Header unchecked = new Header(FORMAT, revision, resources, digest, null);
            return new Digest(ResourceCodec.hash(ResourceCodec.writeValue(unchecked)));
        }
    }

    /** Encodes the header and all resources with their revisions. */
    public static byte[] write(ResourceState state) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Header header = Header.of(state.revision(), state.size(), state.digest(Scope.ALL));
        writeLine(out, ResourceCodec.writeValue(header));
        state.resources().forEach(resource -> writeLine(out, ResourceCodec.encode(resource)));
        return out.toByteArray();
    }

    private static void writeLine(ByteArrayOutputStream out, byte[] line) {
        out.writeBytes(line);
        out.write(LINE_END);
    }

    /**
     * Reads a state written by {@link #write}.
     *
     * @throws InvalidChangeException if the data is truncated, corrupt or of another format
     */
    public static ResourceState read(byte[] bytes) throws InvalidChangeException {
        Lines lines = new Lines(bytes);
        Header header = readHeader(lines);
        ResourceState state = new ResourceState();
        while (lines.hasNext()) {
            putResource(state, lines.next(), header.revision(), lines.number());
        }
        lines.requireEnd();
        state.advance(header.revision());
        requireComplete(state, header);
        return state;
    }

    private static Header readHeader(Lines lines) throws InvalidChangeException {
        if (!lines.hasNext()) {
            throw new InvalidChangeException("state", "expected a complete header line");
        }
        byte[] line = lines.next();
        int format = ResourceCodec.readValue(FormatNumber.class, "state header", line).format();
        if (format != FORMAT) {
            throw new InvalidChangeException(
                    "state header", "has format " + format + ", and this program reads " + FORMAT);
        }
        Header header = ResourceCodec.readValue(Header.class, "state header", line);
        if (!header.isIntact()) {
            throw new InvalidChangeException("state header", "is damaged: its checksum differs");
        }
        return header;
    }

    private static void putResource(ResourceState state, byte[] line, Revision latest, int number)
            throws InvalidChangeException {
        String place = "state line " + number;
        VersionedResource resource;
        try {
            resource = ResourceCodec.readResource(line);
        } catch (InvalidChangeException e) {
            throw new InvalidChangeException(place, e.getMessage());
        }
        if (resource.revision().isAfter(latest)) {
            throw new InvalidChangeException(place, "is newer than the state's revision " + latest);
        }
        if (state.put(resource) != null) {
            throw new InvalidChangeException(place, resource.id() + " occurs twice");
        }
    }

    private static void requireComplete(ResourceState state, Header header)
            throws InvalidChangeException {
        if (state.size() != header.resources()) {
            throw new InvalidChangeException(
                    "state",
                    "has "
                            + state.size()
                            + " resources, but its header declares "
                            + header.resources());
        }
        Digest digest = state.digest(Scope.ALL);
        if (!digest.equals(header.digest())) {
            throw new InvalidChangeException(
                    "state",
                    "is damaged: its digest is "
                            + digest
                            + ", but its header declares "
                            + header.digest());
        }
    }

    /** Iterates over the complete lines of a byte array, without their line terminators. */
    private static final class Lines implements Iterator<byte[]> {
        private final byte[] bytes;
        private int start;
        private int end;
        private int number;

        Lines(byte[] bytes) {
            this.bytes = bytes;
            end = findEnd(0);
        }

        private int findEnd(int from) {
            int at = from;
            while (at < bytes.length && bytes[at] != LINE_END) {
                at++;
            }
            return at;
        }

        @Override
        public boolean hasNext() {
            return end < bytes.length;
        }

        @Override
        public byte[] next() {
            if (!hasNext()) {
                throw new NoSuchElementException();
            }
            byte[] line = Arrays.copyOfRange(bytes, start, end);
            start = end + 1;
            end = findEnd(start);
            number++;
            return line;
        }

        /** Returns the number of the last returned line, from 1. */
        int number() {
            return number;
        }

        void requireEnd() throws InvalidChangeException {
            if (start < bytes.length) {
                throw new InvalidChangeException("state line " + (number + 1), "is truncated");
            }
        }
    }
}
