package loadbalancer.control.model;

import java.util.List;

/**
 * A service: a set of upstreams with the settings of requests to it.
 *
 * @param name unique among all services
 * @param zones the zones that its upstreams stand in, in the order of the balancers' settings
 * @param upstreamKinds the kinds of machines among its upstreams
 */
public record Service(String name, List<String> zones, List<String> upstreamKinds)
        implements Resource {
    /** Copies the lists; absent ones are empty. */
    public Service {
        zones = zones == null ? List.of() : List.copyOf(zones);
        upstreamKinds = upstreamKinds == null ? List.of() : List.copyOf(upstreamKinds);
    }

    @Override
    public ResourceId id() {
        return ResourceId.ofService(name);
    }

    @Override
    public void validate() throws InvalidChangeException {
        FieldCheck check = FieldCheck.of(id());
        for (String zone : zones) {
            check.name(ResourceFieldNames.ZONES, zone);
        }
        for (String upstreamKind : upstreamKinds) {
            check.name(ResourceFieldNames.UPSTREAM_KINDS, upstreamKind);
        }
    }
}
