package loadbalancer.control.subscribe;

import java.util.List;
import java.util.Set;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;

/**
 * An update that was put in force.
 *
 * @param from the revision that was in force before the update
 * @param to the revision in force after the update
 * @param isSnapshot whether the update replaced the entire state
 * @param put the resources that were added or replaced; empty for a snapshot
 * @param deleted the resources that were deleted, some of which may not have existed; empty for a
 *     snapshot
 * @param services the services with changed resources; for a snapshot, all services of the states
 *     before and after
 */
public record AppliedUpdate(
        Revision from,
        Revision to,
        boolean isSnapshot,
        List<VersionedResource> put,
        List<ResourceId> deleted,
        Set<String> services) {}
