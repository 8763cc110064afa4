package loadbalancer.control.store;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.ResourceStateFormat;
import loadbalancer.control.model.Revision;
import loadbalancer.snapshot.FileEnvelope;
import loadbalancer.snapshot.InvalidStoredFileException;

/**
 * The format of a snapshot file: within a {@link FileEnvelope}, one JSON line that maps the ids of
 * the accepted changes to their revisions, oldest first, followed by the resources in {@link
 * ResourceStateFormat}.
 */
final class StoreSnapshotFormat {
    /** The first word of the file; it has the program's former name to read old snapshots. */
    private static final String MAGIC = "yewyoke-control-snapshot";

    private static final int VERSION = 1;
    private static final int MAX_BYTES = 1 << 30;
    private static final FileEnvelope ENVELOPE =
            new FileEnvelope(MAGIC, "snapshot of the control log", VERSION, MAX_BYTES);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final char LINE_END = '\n';

    private StoreSnapshotFormat() {}

    /** The content of a snapshot. */
    record Content(ResourceState state, AcceptedChanges accepted) {}

    static byte[] write(ResourceState state, AcceptedChanges accepted) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(MAPPER.writeValueAsBytes(accepted.all()));
        out.write(LINE_END);
        out.writeBytes(ResourceStateFormat.write(state));
        try {
            return ENVELOPE.wrap(out.toByteArray());
        } catch (InvalidStoredFileException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /**
     * Parses a snapshot file.
     *
     * @param capacity the capacity of the accepted changes
     * @throws DamagedLogException if the file is damaged or not a snapshot of this version
     */
    static Content read(String file, byte[] bytes, int capacity) throws DamagedLogException {
        int start = 0;
        try {
            start = ENVELOPE.payloadOffset(bytes);
            int end = endOfLine(bytes, start);
            AcceptedChanges accepted =
                    readAccepted(Arrays.copyOfRange(bytes, start, end), capacity);
            start = end + 1;
            return new Content(
                    ResourceStateFormat.read(Arrays.copyOfRange(bytes, start, bytes.length)),
                    accepted);
        } catch (InvalidStoredFileException | InvalidChangeException e) {
            throw new DamagedLogException(file, start, e.getMessage());
        } catch (IOException e) {
            throw new DamagedLogException(
                    file, start, "the ids of the accepted changes can't be read");
        }
    }

    private static int endOfLine(byte[] bytes, int start) throws IOException {
        for (int at = start; at < bytes.length; at++) {
            if (bytes[at] == LINE_END) {
                return at;
            }
        }
        throw new IOException("line terminator is missing");
    }

    private static AcceptedChanges readAccepted(byte[] json, int capacity) throws IOException {
        Map<String, Revision> revisions =
                MAPPER.readValue(json, new TypeReference<LinkedHashMap<String, Revision>>() {});
        AcceptedChanges accepted = new AcceptedChanges(capacity);
        revisions.forEach(accepted::add);
        return accepted;
    }
}
