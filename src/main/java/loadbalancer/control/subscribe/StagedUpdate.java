package loadbalancer.control.subscribe;

import java.util.Collection;
import java.util.Set;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.VersionedResource;

/** The merged parts of an update, staged separately from the state in force. */
interface StagedUpdate extends ResourceView {
    /** Stages a resource to add or replace; overrides an earlier part of the update. */
    void put(VersionedResource resource);

    /** Stages the deletion of a resource; overrides an earlier part of the update. */
    void delete(ResourceId id);

    /** Returns the digest that the subscriber's scope would have with the update in force. */
    Digest digest();

    /** Returns the services in which the update changes resources. */
    Set<String> services();

    /** Returns a view of the resources of a service that the update adds or replaces. */
    Collection<VersionedResource> putResources(String service);

    /** Returns the maximum number of resources that a check of the service reads. */
    int checkCost(String service);

    /** Returns the work that puts the update in force. */
    UpdateApplication application();
}
