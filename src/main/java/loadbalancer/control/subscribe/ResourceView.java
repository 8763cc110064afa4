package loadbalancer.control.subscribe;

import java.util.stream.Stream;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceId;

/** A read-only view of the resources as they would be after an update not yet in force. */
public interface ResourceView {
    /** Returns the resource with the given identifier, or null if there is none. */
    Resource get(ResourceId id);

    /** Returns all resources of a service; takes time proportional to their number. */
    Stream<Resource> resourcesOf(String service);
}
