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
import loadbalancer.snapshot.InvalidStoredFileException;
import loadbalancer.snapshot.Storage;
import loadbalancer.snapshot.TwoGenerationFiles;

/**
 * Stores on disk the last two control states that a subscriber had in force, each as a {@link
 * FileEnvelope} around {@link ResourceStateFormat}. Not thread-safe; reading and writing block on
 * the disk.
 */
public final class AppliedStateFiles {
    /**
     * First word of each file. It keeps the project's former name so that existing files stay
     * readable.
     */
    private static final String MAGIC = "yewyoke-control";

    private static final String KIND = "control state";
    private static final int VERSION = 1;

    private final TwoGenerationFiles files;
    private final FileEnvelope envelope;
    private final int maxBytes;

    /**
     * Creates the store without any disk access.
     *
     * @param name file name of the latest state
     * @param writer part of temporary file names, unique among processes that write concurrently
     * @param maxBytes size limit of one file; a larger one is neither written nor read
     */
    public AppliedStateFiles(Storage storage, String name, String writer, int maxBytes) {
        this.files = new TwoGenerationFiles(storage, name, writer);
        this.envelope = new FileEnvelope(MAGIC, KIND, VERSION, maxBytes);
        this.maxBytes = maxBytes;
    }

    /**
     * An immutable copy of a state, which any thread may write.
     *
     * @param revision revision of the copied state
     * @param resources all resources of the copied state
     */
    public record Copy(Revision revision, List<VersionedResource> resources) {
        /** Copies a state. Must be called on the thread that owns the state. */
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
     * Writes a state, which replaces the older of the two stored states.
     *
     * @throws IOException if writing fails
     * @throws InvalidStoredFileException if the state exceeds the size limit
     */
    public void write(Copy copy) throws IOException, InvalidStoredFileException {
        files.write(envelope.wrap(ResourceStateFormat.write(copy.toState())));
    }

    /**
     * Returns the latest readable state, or null if there is none, and one message for each
     * rejected file.
     */
    public TwoGenerationFiles.ReadResult<ResourceState> read() {
        return files.read(maxBytes, this::decode);
    }

    private ResourceState decode(byte[] file) throws InvalidStoredFileException {
        int start = envelope.payloadOffset(file);
        try {
            return ResourceStateFormat.read(Arrays.copyOfRange(file, start, file.length));
        } catch (InvalidChangeException e) {
            throw new InvalidStoredFileException("not a valid control state: " + e.getMessage());
        }
    }
}
