package loadbalancer.node.control.server;

import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.StateDifference;
import loadbalancer.control.subscribe.AppliedUpdate;
import loadbalancer.http1.control.PublisherRunner;

/**
 * The state that a follower publishes: a copy of its subscriber's, as that is another object after
 * each snapshot while a publisher keeps reading the same one. Only the maps are copied, the
 * resources are shared. For the loop's thread.
 */
final class PublishedState {
    private final ResourceState state = new ResourceState();

    /** A copy of that state. */
    PublishedState(ResourceState restored) {
        replace(restored);
    }

    ResourceState state() {
        return state;
    }

    /** Takes over an update that the subscriber has applied, and notifies the publisher. */
    void follow(AppliedUpdate update, ResourceState applied, PublisherRunner publisher) {
        if (update.isSnapshot()) {
            publisher.replaced(replace(applied));
        } else {
            update.deleted().forEach(state::delete);
            update.put().forEach(state::put);
            state.advance(update.to());
            publisher.changed(update.to(), update.put(), update.deleted());
        }
    }

    /** Changes only what differs, as each resource that is put is hashed. */
    private StateDifference replace(ResourceState next) {
        StateDifference difference = StateDifference.between(state, next);
        difference.applyTo(state);
        state.advance(next.revision());
        return difference;
    }
}
