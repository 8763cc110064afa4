package loadbalancer.control.model;

/**
 * A resource with the revision of the change that added or last replaced it.
 *
 * @param revision the revision of that change
 * @param resource the resource as of that revision
 */
public record VersionedResource(Revision revision, Resource resource) {
    /** Returns the identifier of the resource. */
    public ResourceId id() {
        return resource.id();
    }
}
