package loadbalancer.control.subscribe;

import java.util.stream.Stream;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceId;

/** Resources as they would be after an update that is not in force yet. */
public interface ResourceView {
    /** The resource of that identifier, or null. */
    Resource get(ResourceId id);

    /** All resources of a service; reads every one of them. */
    Stream<Resource> resourcesOf(String service);
}
