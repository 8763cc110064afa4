package loadbalancer.control.publish;

import java.util.List;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.VersionedResource;

/**
 * What one state has otherwise than another.
 *
 * @param put resources that are new or not the same
 * @param deleted resources that are gone
 */
record StateDifference(List<VersionedResource> put, List<ResourceId> deleted) {}
