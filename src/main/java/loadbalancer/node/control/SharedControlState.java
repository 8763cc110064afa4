package loadbalancer.node.control;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.node.SharedState;
import loadbalancer.snapshot.InvalidStoredFileException;

/**
 * The control state in force, as the two processes of a balancer share it: only one of them
 * subscribes to the control servers at a time. Used on the balancer's event loop except for {@link
 * #decode}.
 */
final class SharedControlState implements SharedState<ResourceState> {
    /** Both processes' files count towards the memory of the balancer. */
    private static final int MAX_BYTES = 8 << 20;

    private final AppliedStateFormat format = new AppliedStateFormat(MAX_BYTES);
    private final Supplier<Optional<ResourceState>> stateInForce;
    private final Consumer<ResourceState> adopter;
    private long changeCount;

    /**
     * Creates the shared state.
     *
     * @param stateInForce returns the state in force; empty while an update is partly applied
     * @param adopter receives a state of the other process, which may be older than this one's
     */
    SharedControlState(
            Supplier<Optional<ResourceState>> stateInForce, Consumer<ResourceState> adopter) {
        this.stateInForce = stateInForce;
        this.adopter = adopter;
    }

    /** Called after an update has been applied or a state of the other process was adopted. */
    void changed() {
        changeCount++;
    }

    @Override
    public String name() {
        return "control";
    }

    @Override
    public int maxBytes() {
        return MAX_BYTES;
    }

    @Override
    public long changeCount() {
        return changeCount;
    }

    @Override
    public boolean hasLearntSinceStart() {
        return changeCount > 0;
    }

    @Override
    public Optional<Encoder> encoder() {
        return stateInForce
                .get()
                .filter(state -> !state.revision().equals(Revision.NONE))
                .map(AppliedStateFiles.Copy::of)
                .map(copy -> () -> format.encode(copy));
    }

    @Override
    public ResourceState decode(byte[] content) throws InvalidStoredFileException {
        return format.decode(content);
    }

    @Override
    public void adopt(ResourceState other) {
        adopter.accept(other);
    }
}
