package loadbalancer.control.model;

import java.util.List;

/**
 * The difference between two states.
 *
 * @param put the resources that were added or replaced, each with its own revision
 * @param deleted the resources that no longer exist
 */
public record StateDifference(List<VersionedResource> put, List<ResourceId> deleted) {
    /** Computes the difference between two states; reads all resources of both. */
    public static StateDifference between(ResourceState before, ResourceState after) {
        List<VersionedResource> put =
                after.resources()
                        .filter(resource -> !resource.equals(before.get(resource.id())))
                        .toList();
        List<ResourceId> deleted =
                before.resources()
                        .map(VersionedResource::id)
                        .filter(id -> after.get(id) == null)
                        .toList();
        return new StateDifference(put, deleted);
    }

    /**
     * Applies the difference to a state with the resources of the earlier state, so that it has
     * those of the later one. The revision of the state is not changed.
     */
    public void applyTo(ResourceState state) {
        deleted.forEach(state::delete);
        put.forEach(state::put);
    }
}
