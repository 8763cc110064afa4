package loadbalancer.control.subscribe;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;

/**
 * The state in force, with the revision and digest of its last applied update. These stay as they
 * are while the next update is being applied to the state. For one thread.
 */
final class AppliedState {
    private final Scope scope;
    private ResourceState state;
    private Revision revision;
    private Digest digest;
    private boolean isSnapshotNeeded;

    /** A restored state; if it holds more than the scope, a snapshot has to replace it. */
    AppliedState(ResourceState state, Scope scope) {
        this.scope = scope;
        replace(state);
        isSnapshotNeeded = !state.services().stream().allMatch(scope::covers);
    }

    /** A state is in force at its revision; it may be the same object, changed. */
    void replace(ResourceState next) {
        state = next;
        revision = next.revision();
        digest = next.digest(scope);
        isSnapshotNeeded = false;
    }

    ResourceState state() {
        return state;
    }

    Revision revision() {
        return revision;
    }

    Digest digest() {
        return digest;
    }

    /** Whether updates can't build on it; it stays in force until a snapshot replaces it. */
    boolean isSnapshotNeeded() {
        return isSnapshotNeeded;
    }

    /** Updates can't build on it from now on. */
    void requireSnapshot() {
        isSnapshotNeeded = true;
    }
}
