package loadbalancer.faults.control;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Limits;
import loadbalancer.control.model.RequestClass;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceKind;
import loadbalancer.control.model.Route;
import loadbalancer.control.model.Service;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.model.Upstream;

/**
 * Draws changes, from one tenant to a whole service, and now and then one that has to be refused.
 */
final class ChangeGenerator {
    /** A tenant with that share is refused by subscribers that are told to. */
    static final double SHARE_REFUSED_BY_SUBSCRIBERS = 0.4375;

    private static final String CLASS_NAME = "read";
    private static final int NAMES = 40;

    private final RandomGenerator random;
    private final int services;
    private final int tenantsOfAService;
    private final TreeMap<ResourceId, Resource> present = new TreeMap<>();
    private long number;

    /**
     * A drawn change.
     *
     * @param change to submit
     * @param valid whether the writer has to accept it
     */
    record Drawn(Change change, boolean valid) {}

    /** A step of a change that is put together. */
    private static final class Builder {
        private final TreeMap<ResourceId, Resource> put = new TreeMap<>();
        private final TreeSet<ResourceId> delete = new TreeSet<>();
    }

    ChangeGenerator(RandomGenerator random, int services, int tenantsOfAService) {
        this.random = random;
        this.services = services;
        this.tenantsOfAService = tenantsOfAService;
    }

    /** The names of all services that there may be. */
    List<String> serviceNames() {
        List<String> names = new ArrayList<>();
        for (int service = 0; service < services; service++) {
            names.add(serviceName(service));
        }
        return names;
    }

    private static String serviceName(int service) {
        return "service-" + service;
    }

    /** The changes that lay the ground, one for each service. */
    List<Change> baseState() {
        List<Change> changes = new ArrayList<>();
        for (String service : serviceNames()) {
            Builder builder = new Builder();
            wholeService(builder, service);
            changes.add(build(builder));
        }
        return changes;
    }

    /** What was accepted becomes the ground of later changes. */
    void accepted(Change change) {
        change.delete().forEach(present::remove);
        change.put().forEach(resource -> present.put(resource.id(), resource));
    }

    /** All that was accepted since that copy is given up. */
    void restore(TreeMap<ResourceId, Resource> copy) {
        present.clear();
        present.putAll(copy);
    }

    /** A copy of what is accepted now. */
    TreeMap<ResourceId, Resource> copy() {
        return new TreeMap<>(present);
    }

    /** Draws the next change. */
    Drawn draw() {
        if (random.nextInt(8) == 0) {
            return new Drawn(drawInvalid(), false);
        }
        Builder builder = new Builder();
        switch (random.nextInt(10)) {
            case 0 -> wholeService(builder, drawService());
            case 1 -> deleteService(builder, drawService());
            case 2 -> manyTenants(builder, drawService());
            case 3, 4 -> {
                tenant(builder, drawPresentService());
                upstream(builder, drawPresentService());
            }
            case 5 -> deleteSome(builder);
            case 6 -> upstream(builder, drawPresentService());
            default -> tenant(builder, drawPresentService());
        }
        if (builder.put.isEmpty() && builder.delete.isEmpty()) {
            wholeService(builder, drawService());
        }
        return new Drawn(build(builder), true);
    }

    /** A change that the writer accepts and some subscribers refuse. */
    Change refusedBySubscribers() {
        String service = drawPresentService();
        Builder builder = new Builder();
        put(builder, new Tenant(service, "refused", 1, SHARE_REFUSED_BY_SUBSCRIBERS));
        if (!present.containsKey(ResourceId.ofService(service))) {
            wholeService(builder, service);
        }
        return build(builder);
    }

    /** The change that takes away all that subscribers refuse; null if there is nothing. */
    Change withoutRefused() {
        Builder builder = new Builder();
        for (Resource resource : present.values()) {
            if (resource instanceof Tenant tenant
                    && tenant.quotaFraction() == SHARE_REFUSED_BY_SUBSCRIBERS) {
                builder.delete.add(resource.id());
            }
        }
        return builder.delete.isEmpty() ? null : build(builder);
    }

    private Change build(Builder builder) {
        number++;
        return new Change(
                "change-" + number, List.copyOf(builder.put.values()), List.copyOf(builder.delete));
    }

    private static void put(Builder builder, Resource resource) {
        builder.put.put(resource.id(), resource);
    }

    private String drawService() {
        return serviceName(random.nextInt(services));
    }

    private String drawPresentService() {
        List<String> names =
                present.keySet().stream()
                        .filter(id -> id.kind() == ResourceKind.SERVICE)
                        .map(ResourceId::name)
                        .toList();
        return names.isEmpty() ? drawService() : names.get(random.nextInt(names.size()));
    }

    private boolean isPresent(String service) {
        return present.containsKey(ResourceId.ofService(service));
    }

    private void wholeService(Builder builder, String service) {
        put(
                builder,
                new Service(
                        service,
                        List.of("zone-0", "zone-1"),
                        List.of("kind-" + random.nextInt(3))));
        put(
                builder,
                new RequestClass(
                        service,
                        CLASS_NAME,
                        0.1,
                        1 + random.nextInt(5),
                        1,
                        0,
                        RequestClass.RetrySafety.IDEMPOTENT,
                        RequestClass.DeduplicationScope.ALL,
                        0));
        put(builder, new Route(service, "route-0", "", "/" + random.nextInt(NAMES), CLASS_NAME));
        put(builder, new Limits(service, 1 + random.nextInt(3), 1000, true, 2, 0.5, 30));
        for (int tenant = 0; tenant < tenantsOfAService; tenant++) {
            put(builder, drawTenant(service, tenant));
        }
        for (int upstream = 0; upstream < 3; upstream++) {
            put(builder, drawUpstream(service, upstream));
        }
    }

    private Tenant drawTenant(String service, int tenant) {
        return new Tenant(service, "tenant-" + tenant, random.nextInt(1000), 0.5);
    }

    private Upstream drawUpstream(String service, int upstream) {
        return new Upstream(
                service,
                "upstream-" + upstream,
                "10.0.0." + (1 + random.nextInt(250)) + ":8080",
                "zone-0",
                "kind-0",
                0,
                random.nextBoolean() ? Upstream.State.READY : Upstream.State.DRAINING,
                1 + random.nextInt(4),
                random.nextInt(1_000_000));
    }

    private void tenant(Builder builder, String service) {
        if (isPresent(service)) {
            put(builder, drawTenant(service, random.nextInt(NAMES)));
        }
    }

    private void upstream(Builder builder, String service) {
        if (isPresent(service)) {
            put(builder, drawUpstream(service, random.nextInt(NAMES)));
        }
    }

    private void manyTenants(Builder builder, String service) {
        if (isPresent(service)) {
            for (int tenant = 0; tenant < 2 * NAMES; tenant++) {
                put(builder, drawTenant(service, tenant));
            }
        }
    }

    private void deleteService(Builder builder, String service) {
        for (ResourceId id : present.keySet()) {
            if (id.service().equals(service)) {
                builder.delete.add(id);
            }
        }
    }

    private void deleteSome(Builder builder) {
        List<ResourceId> candidates =
                present.keySet().stream()
                        .filter(
                                id ->
                                        id.kind() == ResourceKind.TENANT
                                                || id.kind() == ResourceKind.UPSTREAM)
                        .toList();
        for (int count = 0; count < 3 && !candidates.isEmpty(); count++) {
            builder.delete.add(candidates.get(random.nextInt(candidates.size())));
        }
    }

    private Change drawInvalid() {
        Builder builder = new Builder();
        tenant(builder, drawPresentService());
        switch (random.nextInt(3)) {
            case 0 -> put(builder, new Tenant("unknown-service", "tenant", 1, 0.5));
            case 1 -> put(builder, new Tenant(drawPresentService(), "tenant-bad", -1, 0.5));
            default ->
                    builder.delete.add(
                            new ResourceId(
                                    ResourceKind.UPSTREAM,
                                    drawPresentService(),
                                    "upstream-unknown"));
        }
        return build(builder);
    }
}
