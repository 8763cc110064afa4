package loadbalancer.control.model;

/**
 * A resource and the revision of the change that last replaced it.
 *
 * @param revision of that change
 * @param resource as that change left it
 */
public record VersionedResource(Revision revision, Resource resource) {
    /** What identifies the resource. */
    public ResourceId id() {
        return resource.id();
    }
}
