package loadbalancer.node.control;

import java.util.Arrays;
import java.util.List;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.ResourceStateFormat;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.snapshot.FileEnvelope;
import loadbalancer.snapshot.InvalidStoredFileException;

/**
 * Encodes a control state that a subscriber had in force as a {@link FileEnvelope} around {@link
 * ResourceStateFormat}. Immutable.
 */
final class AppliedStateFormat {
    /** First word of each file: the former name of the project, which existing files have. */
    private static final String MAGIC = "yewyoke-control";

    private static final String KIND = "control state";
    private static final int VERSION = 1;

    private final FileEnvelope envelope;

    /**
     * Creates a format.
     *
     * @param maxBytes size limit of an encoded state; a larger one is neither encoded nor decoded
     */
    AppliedStateFormat(int maxBytes) {
        envelope = new FileEnvelope(MAGIC, KIND, VERSION, maxBytes);
    }

    /** Returns the size limit of an encoded state. */
    int maxBytes() {
        return envelope.maxBytes();
    }

    /**
     * Encodes a state.
     *
     * @throws InvalidStoredFileException if the state exceeds the size limit
     */
    byte[] encode(AppliedStateFiles.Copy copy) throws InvalidStoredFileException {
        return envelope.wrap(ResourceStateFormat.write(toState(copy.revision(), copy.resources())));
    }

    private static ResourceState toState(Revision revision, List<VersionedResource> resources) {
        ResourceState state = new ResourceState();
        resources.forEach(state::put);
        state.advance(revision);
        return state;
    }

    /**
     * Decodes a state.
     *
     * @throws InvalidStoredFileException if the file is torn, foreign, damaged or too large
     */
    ResourceState decode(byte[] file) throws InvalidStoredFileException {
        int start = envelope.payloadOffset(file);
        try {
            return ResourceStateFormat.read(Arrays.copyOfRange(file, start, file.length));
        } catch (InvalidChangeException e) {
            throw new InvalidStoredFileException("not a valid control state: " + e.getMessage());
        }
    }
}
