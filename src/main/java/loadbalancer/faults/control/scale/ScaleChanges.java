package loadbalancer.faults.control.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Limits;
import loadbalancer.control.model.RequestClass;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.Route;
import loadbalancer.control.model.Service;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.model.Upstream;

/**
 * The changes of a scale run: the base state, a change for each service, then drawn ones of all
 * sizes.
 */
final class ScaleChanges {
    private static final String CLASS_NAME = "read";
    private static final int TENANT_PERCENT = 70;
    private static final int UPSTREAM_PERCENT = 20;
    private static final int SEVERAL_PERCENT = 8;
    private static final int HUNDRED = 100;
    private static final int SEVERAL_TENANTS = 20;

    private final StateSize size;
    private final RandomGenerator random;
    private int number;

    ScaleChanges(StateSize size, RandomGenerator random) {
        this.size = size;
        this.random = random;
    }

    /** The name of a service by its number. */
    static String serviceName(int service) {
        return "service-" + service;
    }

    /** The changes that make the base state. */
    List<Change> baseState() {
        List<Change> changes = new ArrayList<>();
        for (int service = 0; service < size.services(); service++) {
            changes.add(change(wholeService(service)));
        }
        return changes;
    }

    /**
     * The next change: mostly one tenant, sometimes an upstream or some tenants, seldom a whole
     * service.
     */
    Change next() {
        int service = random.nextInt(size.services());
        int draw = random.nextInt(HUNDRED);
        if (draw < TENANT_PERCENT && tenantsOf(service) > 0) {
            return change(List.of(tenant(service, random.nextInt(tenantsOf(service)))));
        }
        if (draw < TENANT_PERCENT + UPSTREAM_PERCENT && upstreamsOf(service) > 0) {
            return change(List.of(upstream(service, random.nextInt(upstreamsOf(service)))));
        }
        if (draw < TENANT_PERCENT + UPSTREAM_PERCENT + SEVERAL_PERCENT && tenantsOf(service) > 0) {
            return change(severalTenants(service));
        }
        return change(wholeService(service));
    }

    private List<Resource> severalTenants(int service) {
        List<Resource> put = new ArrayList<>();
        int count = Math.min(SEVERAL_TENANTS, tenantsOf(service));
        for (int tenant = 0; tenant < count; tenant++) {
            put.add(tenant(service, tenant));
        }
        return put;
    }

    private Change change(List<Resource> put) {
        number++;
        return new Change("scale-" + number, put, List.of());
    }

    private List<Resource> wholeService(int service) {
        String name = serviceName(service);
        List<Resource> put = new ArrayList<>();
        put.add(new Service(name, List.of("zone-0", "zone-1", "zone-2"), List.of("kind-0")));
        put.add(
                new RequestClass(
                        name,
                        CLASS_NAME,
                        0.1,
                        2,
                        1,
                        0.5,
                        RequestClass.RetrySafety.IDEMPOTENT,
                        RequestClass.DeduplicationScope.ALL,
                        0));
        put.add(new Limits(name, 3, 1_000, true, 2, 0.5, 30));
        for (int route = 0; route < partOf(size.routes(), service); route++) {
            put.add(new Route(name, "route-" + route, name + ".example", "/" + route, CLASS_NAME));
        }
        for (int upstream = 0; upstream < upstreamsOf(service); upstream++) {
            put.add(upstream(service, upstream));
        }
        for (int tenant = 0; tenant < tenantsOf(service); tenant++) {
            put.add(tenant(service, tenant));
        }
        return put;
    }

    private Tenant tenant(int service, int tenant) {
        return new Tenant(serviceName(service), "tenant-" + tenant, 1 + random.nextInt(1_000), 0.5);
    }

    private Upstream upstream(int service, int upstream) {
        String address =
                "10." + service / 250 + "." + service % 250 + "." + (1 + upstream % 250) + ":8080";
        return new Upstream(
                serviceName(service),
                "upstream-" + upstream,
                address,
                "zone-" + upstream % 3,
                "kind-0",
                upstream % 4,
                Upstream.State.READY,
                1 + random.nextInt(4),
                1_700_000_000_000L + random.nextInt(1_000_000));
    }

    private int upstreamsOf(int service) {
        return partOf(size.upstreams(), service);
    }

    private int tenantsOf(int service) {
        return partOf(size.tenants(), service);
    }

    /** A total is spread evenly; the first services have the remainder. */
    private int partOf(int total, int service) {
        return total / size.services() + (service < total % size.services() ? 1 : 0);
    }
}
