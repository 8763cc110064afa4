package loadbalancer.control.model;

import java.util.List;

/**
 * A service, which is a set of upstreams with the settings of requests to them.
 *
 * @param name the name, unique among all services
 * @param zones the zones of its upstreams, in the order of the balancers' settings
 * @param upstreamKinds the machine types of its upstreams
 */
public record Service(String name, List<String> zones, List<String> upstreamKinds)
        implements Resource {
    /** Copies the lists; an absent list becomes empty. */
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
