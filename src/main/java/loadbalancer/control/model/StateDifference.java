package loadbalancer.control.model;

import java.util.List;

/**
 * What one state has otherwise than another.
 *
 * @param put resources that are new or differ, each with its own revision
 * @param deleted resources that no longer exist
 */
public record StateDifference(List<VersionedResource> put, List<ResourceId> deleted) {
    /** Compares two states; reads all resources of both. */
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

    /** Brings a state like the one before to the resources of the one after. */
    public void applyTo(ResourceState state) {
        deleted.forEach(state::delete);
        put.forEach(state::put);
    }
}
