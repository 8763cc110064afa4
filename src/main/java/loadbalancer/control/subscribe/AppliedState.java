package loadbalancer.control.subscribe;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;

/**
 * The state in force, with the revision and digest of the last applied update. Revision and digest
 * don't change while the next update is being applied to the state. Not thread-safe.
 */
final class AppliedState {
    private final Scope scope;
    private ResourceState state;
    private Revision revision;
    private Digest digest;
    private boolean isSnapshotNeeded;

    /** Puts a restored state in force; services outside the scope make a snapshot necessary. */
    AppliedState(ResourceState state, Scope scope) {
        this.scope = scope;
        replace(state);
        isSnapshotNeeded = !state.services().stream().allMatch(scope::covers);
    }

    /** Puts a state in force at its revision; it may be the same object with changed content. */
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

    /** Returns whether only a snapshot can follow, because deltas can't build on the state. */
    boolean isSnapshotNeeded() {
        return isSnapshotNeeded;
    }

    /** Requires a snapshot; the state stays in force until the snapshot replaces it. */
    void requireSnapshot() {
        isSnapshotNeeded = true;
    }
}
