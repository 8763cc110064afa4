package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An upstream of a service; the fields have the same meaning as in discovery's endpoint list. The
 * resource is deleted once the upstream no longer exists.
 *
 * @param service the service that the upstream belongs to
 * @param name its identifier, the same at every balancer and after a restart of its process
 * @param address its address as {@code host:port} with a numeric IPv4 host
 * @param zone its zone; may be empty
 * @param upstreamKind its machine type; may be empty
 * @param cell its cell, from 0
 * @param state whether it accepts new requests
 * @param weight its capacity weight, above 0
 * @param startedMillis the start time of its process in Unix milliseconds; 0 if the start is long
 *     past
 */
public record Upstream(
        String service,
        String name,
        String address,
        String zone,
        String upstreamKind,
        int cell,
        State state,
        double weight,
        @JsonProperty(ResourceFieldNames.STARTED) long startedMillis)
        implements Resource {
    /** Whether an upstream accepts new requests. */
    public enum State {
        /** The upstream accepts new requests. */
        @JsonProperty("ready")
        READY,
        /** The upstream completes the requests in flight and accepts no new ones. */
        @JsonProperty("draining")
        DRAINING
    }

    /** Replaces absent values: strings by the empty one, the state by ready, the weight by 1. */
    public Upstream {
        zone = zone == null ? "" : zone;
        upstreamKind = upstreamKind == null ? "" : upstreamKind;
        state = state == null ? State.READY : state;
        weight = weight == 0 ? 1 : weight;
    }

    @Override
    public ResourceId id() {
        return new ResourceId(ResourceKind.UPSTREAM, service, name);
    }

    @Override
    public void validate() throws InvalidChangeException {
        FieldCheck check = FieldCheck.of(id());
        check.address(ResourceFieldNames.ADDRESS, address);
        check.positive(ResourceFieldNames.WEIGHT, weight);
        check.notNegative(ResourceFieldNames.CELL, cell);
        check.notNegative(ResourceFieldNames.STARTED, startedMillis);
    }
}
