package loadbalancer.node.control.server;

import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.StateDifference;
import loadbalancer.control.subscribe.AppliedUpdate;
import loadbalancer.http1.control.PublisherRunner;

/**
 * The state that a follower publishes. It is a copy of the subscriber's state, because a subscriber
 * replaces its state object with each snapshot, whereas a publisher always reads the same object.
 * Only the maps are copied; the resources are shared. Used on the event loop only.
 */
final class PublishedState {
    private final ResourceState state = new ResourceState();

    /** Creates a copy of the restored state. */
    PublishedState(ResourceState restored) {
        replace(restored);
    }

    ResourceState state() {
        return state;
    }

    /** Applies an update that the subscriber has already applied, and notifies the publisher. */
    void applyUpdate(AppliedUpdate update, ResourceState applied, PublisherRunner publisher) {
        if (update.isSnapshot()) {
            publisher.replaced(replace(applied));
        } else {
            update.deleted().forEach(state::delete);
            update.put().forEach(state::put);
            state.advance(update.to());
            publisher.changed(update.to(), update.put(), update.deleted());
        }
    }

    /** Changes only the resources that differ, because each resource that is put is hashed. */
    private StateDifference replace(ResourceState next) {
        StateDifference difference = StateDifference.between(state, next);
        difference.applyTo(state);
        state.advance(next.revision());
        return difference;
    }
}
