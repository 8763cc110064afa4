package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One upstream of a service; the fields mean the same as in discovery's endpoint list. An upstream
 * that no longer exists is deleted.
 *
 * @param service the service it serves
 * @param name its id, the same at every balancer and after a restart of its process
 * @param address {@code host:port} with a numeric IPv4 host
 * @param zone its zone, may be empty
 * @param upstreamKind the kind of machine, may be empty
 * @param cell its cell, from 0
 * @param state whether it takes new requests
 * @param weight its rating, above 0
 * @param startedMillis Unix time in milliseconds at which its process started; 0 for long ago
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
    /** Whether an upstream takes new requests. */
    public enum State {
        /** It takes new requests. */
        @JsonProperty("ready")
        READY,
        /** It completes its requests and takes no new ones. */
        @JsonProperty("draining")
        DRAINING
    }

    /** Absent texts are empty, an absent state is ready, an absent weight is 1. */
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
