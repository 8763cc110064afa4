package yewyoke.control.subscribe;

import yewyoke.control.model.Digest;
import yewyoke.control.model.ResourceState;
import yewyoke.control.model.Revision;
import yewyoke.control.model.Scope;

/** What is in force: a state with the revision and digest of its last update, which stay while it is changed. */
final class HeldState {
    private final Scope scope;
    private ResourceState state;
    private Revision revision;
    private Digest digest;

    HeldState(ResourceState state, Scope scope) {
        this.scope = scope;
        replace(state);
    }

    /** A state is in force at its revision; it may be the same one, changed. */
    void replace(ResourceState next) {
        state = next;
        revision = next.revision();
        digest = next.digest(scope);
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

    /** Whether nothing is held that the scope doesn't cover. */
    boolean isWithinScope() {
        return state.services().stream().allMatch(scope::covers);
    }
}
