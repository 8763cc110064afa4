package loadbalancer.control.subscribe;

import java.util.Collection;
import java.util.Set;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.VersionedResource;

/** The sum of an update's parts, staged apart from the state in force. */
interface StagedUpdate extends ResourceView {
    /** Adds or replaces a resource; a later part overrides an earlier one. */
    void put(VersionedResource resource);

    /** Deletes a resource; a later part overrides an earlier one. */
    void delete(ResourceId id);

    /** The digest of the subscriber's scope as it would be with the update in force. */
    Digest digest();

    /** The services that the update touches. */
    Set<String> services();

    /** The resources of a service that the update adds or replaces; a view. */
    Collection<VersionedResource> putIn(String service);

    /** How many resources a check of the service reads, at most. */
    int costOf(String service);

    /** The work of putting the update in force. */
    UpdateApplication application();
}
