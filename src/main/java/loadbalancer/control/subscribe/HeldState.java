package loadbalancer.control.subscribe;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;

/**
 * What is in force: a state with the revision and digest of its last update, which stay while the
 * state is changed, and whether updates can build on it.
 */
final class HeldState {
    private final Scope scope;
    private ResourceState state;
    private Revision revision;
    private Digest digest;
    private boolean snapshotNeeded;

    /** A state from before, which a snapshot has to replace if it holds more than the scope. */
    HeldState(ResourceState state, Scope scope) {
        this.scope = scope;
        replace(state);
        snapshotNeeded = !state.services().stream().allMatch(scope::covers);
    }

    /** A state is in force at its revision; it may be the same one, changed. */
    void replace(ResourceState next) {
        state = next;
        revision = next.revision();
        digest = next.digest(scope);
        snapshotNeeded = false;
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
        return snapshotNeeded;
    }

    /** Updates can't build on it from now on. */
    void requireSnapshot() {
        snapshotNeeded = true;
    }
}
