package loadbalancer.node.control;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.ResourceStateFormat;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.snapshot.Envelope;
import loadbalancer.snapshot.InvalidSnapshotException;
import loadbalancer.snapshot.Storage;
import loadbalancer.snapshot.TwoGenerationFiles;

/** The last two states of a subscriber on a disk. */
final class ControlStateStore {
    private static final int VERSION = 1;
    private static final int MOST_BYTES = 32 << 20;
    private static final Envelope ENVELOPE =
            new Envelope("yewyoke-control", "state of control", VERSION, MOST_BYTES);

    private final TwoGenerationFiles files;

    /**
     * Of the subscriber of that name.
     *
     * @param writer tells processes apart that write at the same time
     */
    ControlStateStore(Storage disk, String subscriber, String writer) {
        files =
                new TwoGenerationFiles(
                        disk, "control-" + subscriber.replaceAll("\\W+", "-") + ".state", writer);
    }

    /** What was in force at one moment, as an immutable copy that any thread may write. */
    record Copy(Revision revision, List<VersionedResource> resources) {}

    /** Keeps a state. */
    void write(Copy copy) throws IOException, InvalidSnapshotException {
        ResourceState state = new ResourceState();
        copy.resources().forEach(state::put);
        state.advance(copy.revision());
        files.write(ENVELOPE.around(ResourceStateFormat.write(state)));
    }

    /** The last one that can be read, or null; and a line for each file that was refused. */
    TwoGenerationFiles.Found<ResourceState> read() {
        return files.read(MOST_BYTES, ControlStateStore::decode);
    }

    private static ResourceState decode(byte[] file) throws InvalidSnapshotException {
        int start = ENVELOPE.open(file);
        try {
            return ResourceStateFormat.read(Arrays.copyOfRange(file, start, file.length));
        } catch (InvalidChangeException e) {
            throw new InvalidSnapshotException("not understood: " + e.getMessage());
        }
    }
}
