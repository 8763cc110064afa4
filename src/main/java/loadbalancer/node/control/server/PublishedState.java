package loadbalancer.node.control.server;

import java.util.List;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.control.subscribe.AppliedUpdate;
import loadbalancer.http1.control.PublisherRunner;

/**
 * What a follower publishes: a copy of what its subscriber holds, as that is another object after
 * each snapshot and a publisher keeps to one. Only the maps are copied, the resources are shared.
 */
final class PublishedState {
    private final ResourceState state = new ResourceState();

    /** A copy of that state. */
    PublishedState(ResourceState held) {
        replace(held);
    }

    ResourceState state() {
        return state;
    }

    /** Takes over an update that is in force at the subscriber, and tells the publisher. */
    void follow(AppliedUpdate update, ResourceState held, PublisherRunner publisher) {
        if (update.snapshot()) {
            replace(held);
            publisher.reset();
        } else {
            update.deleted().forEach(state::delete);
            update.put().forEach(state::put);
            state.advance(update.to());
            publisher.changed(update.to(), update.put(), update.deleted());
        }
    }

    /** Touches only what differs: each resource that is put is hashed. */
    private void replace(ResourceState held) {
        List<ResourceId> gone =
                state.resources()
                        .map(VersionedResource::id)
                        .filter(id -> held.get(id) == null)
                        .toList();
        gone.forEach(state::delete);
        held.resources()
                .filter(resource -> !resource.equals(state.get(resource.id())))
                .forEach(state::put);
        state.advance(held.revision());
    }
}
