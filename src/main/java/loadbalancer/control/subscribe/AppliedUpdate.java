package loadbalancer.control.subscribe;

import java.util.List;
import java.util.Set;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;

/**
 * An update that is in force.
 *
 * @param from the revision that was in force before
 * @param to the revision in force now
 * @param isSnapshot whether it has replaced the whole state
 * @param put resources added or replaced; empty for a snapshot
 * @param deleted resources deleted, some of which may not have existed; empty for a snapshot
 * @param services those that the update touched; for a snapshot all before and after
 */
public record AppliedUpdate(
        Revision from,
        Revision to,
        boolean isSnapshot,
        List<VersionedResource> put,
        List<ResourceId> deleted,
        Set<String> services) {}
