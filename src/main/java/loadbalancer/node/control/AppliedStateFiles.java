package loadbalancer.node.control;

import java.io.IOException;
import java.util.List;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.snapshot.InvalidStoredFileException;
import loadbalancer.snapshot.Storage;
import loadbalancer.snapshot.TwoGenerationFiles;

/**
 * Stores on disk the last two control states that a subscriber had in force, each in {@link
 * AppliedStateFormat}. Not thread-safe; reading and writing block on the disk.
 */
public final class AppliedStateFiles {
    private final TwoGenerationFiles files;
    private final AppliedStateFormat format;

    /**
     * Creates the store without any disk access.
     *
     * @param name file name of the latest state
     * @param writer part of temporary file names, unique among processes that write concurrently
     * @param maxBytes size limit of one file; a larger one is neither written nor read
     */
    public AppliedStateFiles(Storage storage, String name, String writer, int maxBytes) {
        this.files = new TwoGenerationFiles(storage, name, writer);
        this.format = new AppliedStateFormat(maxBytes);
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
    }

    /**
     * Writes a state, which replaces the older of the two stored states.
     *
     * @throws IOException if writing fails
     * @throws InvalidStoredFileException if the state exceeds the size limit
     */
    public void write(Copy copy) throws IOException, InvalidStoredFileException {
        files.write(format.encode(copy));
    }

    /**
     * Returns the latest readable state, or null if there is none, and one message for each
     * rejected file.
     */
    public TwoGenerationFiles.ReadResult<ResourceState> read() {
        return files.read(format.maxBytes(), format::decode);
    }
}
