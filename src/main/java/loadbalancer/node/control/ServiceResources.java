package loadbalancer.node.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import loadbalancer.control.model.Limits;
import loadbalancer.control.model.RequestClass;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.Service;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.model.Upstream;

/**
 * The resources of one service that a balancer uses, at one revision. Equal resources result in
 * equal records. Routes are left out, because a balancer reads the class of a request from the
 * request itself.
 *
 * @param service the service, or null if it does not exist
 * @param classes request classes, sorted by name
 * @param tenants tenants, sorted by name
 * @param limits limits of the service, or null if it has none
 * @param upstreams upstreams, sorted by name
 */
record ServiceResources(
        Service service,
        List<RequestClass> classes,
        List<Tenant> tenants,
        Limits limits,
        List<Upstream> upstreams) {
    /** Contains no resources. */
    static final ServiceResources NONE =
            new ServiceResources(null, List.of(), List.of(), null, List.of());

    /** Groups the resources of one service by kind. */
    static ServiceResources of(Stream<? extends Resource> resources) {
        Service service = null;
        Limits limits = null;
        List<RequestClass> classes = new ArrayList<>();
        List<Tenant> tenants = new ArrayList<>();
        List<Upstream> upstreams = new ArrayList<>();
        for (Resource resource : resources.toList()) {
            if (resource instanceof Service found) {
                service = found;
            } else if (resource instanceof RequestClass requestClass) {
                classes.add(requestClass);
            } else if (resource instanceof Tenant tenant) {
                tenants.add(tenant);
            } else if (resource instanceof Limits found) {
                limits = found;
            } else if (resource instanceof Upstream upstream) {
                upstreams.add(upstream);
            }
        }
        classes.sort(Comparator.comparing(RequestClass::name));
        tenants.sort(Comparator.comparing(Tenant::name));
        upstreams.sort(Comparator.comparing(Upstream::name));
        return new ServiceResources(service, classes, tenants, limits, upstreams);
    }
}
