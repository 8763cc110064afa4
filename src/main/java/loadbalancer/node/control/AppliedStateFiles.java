package loadbalancer.node.control;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.ResourceStateFormat;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.snapshot.FileEnvelope;
import loadbalancer.snapshot.InvalidSnapshotException;
import loadbalancer.snapshot.Storage;
import loadbalancer.snapshot.TwoGenerationFiles;

/**
 * The last two states that a subscriber had in force, on disk: an {@link FileEnvelope} around
 * {@link ResourceStateFormat}. Blocks on the disk; for one thread at a time.
 */
public final class AppliedStateFiles {
    /** The files' first word; the program's former name, so that old files are read. */
    private static final String MAGIC = "yewyoke-control";

    private static final String KIND = "control state";
    private static final int VERSION = 1;

    private final TwoGenerationFiles files;
    private final FileEnvelope envelope;
    private final int maxBytes;

    /**
     * Files of that name.
     *
     * @param writer part of temporary names, distinct among processes that write at the same time
     * @param maxBytes of one file; larger ones are neither written nor read
     */
    public AppliedStateFiles(Storage storage, String name, String writer, int maxBytes) {
        this.files = new TwoGenerationFiles(storage, name, writer);
        this.envelope = new FileEnvelope(MAGIC, KIND, VERSION, maxBytes);
        this.maxBytes = maxBytes;
    }

    /**
     * A state at one moment, immutable, so that any thread may write it.
     *
     * @param revision of the state
     * @param resources all of them
     */
    public record Copy(Revision revision, List<VersionedResource> resources) {
        /** Copies a state, on the thread that owns it. */
        public static Copy of(ResourceState state) {
            return new Copy(state.revision(), state.resources().toList());
        }

        private ResourceState toState() {
            ResourceState state = new ResourceState();
            resources.forEach(state::put);
            state.advance(revision);
            return state;
        }
    }

    /**
     * Writes a state, which replaces the older of the two.
     *
     * @throws IOException if writing fails
     * @throws InvalidSnapshotException if the state is too large
     */
    public void write(Copy copy) throws IOException, InvalidSnapshotException {
        files.write(envelope.wrap(ResourceStateFormat.write(copy.toState())));
    }

    /** The last state that can be read, or null; and a line for each file that was rejected. */
    public TwoGenerationFiles.ReadResult<ResourceState> read() {
        return files.read(maxBytes, this::decode);
    }

    private ResourceState decode(byte[] file) throws InvalidSnapshotException {
        int start = envelope.payloadOffset(file);
        try {
            return ResourceStateFormat.read(Arrays.copyOfRange(file, start, file.length));
        } catch (InvalidChangeException e) {
            throw new InvalidSnapshotException("not understood: " + e.getMessage());
        }
    }
}
