package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kinds of configuration resources with their names in JSON. */
public enum ResourceKind {
    /** A service, which is the unit that balancers subscribe to. */
    @JsonProperty("service")
    SERVICE,
    /** One upstream of a service. */
    @JsonProperty("upstream")
    UPSTREAM,
    /** A mapping of requests to a request class of a service. */
    @JsonProperty("route")
    ROUTE,
    /** A tenant of a service with its allowance. */
    @JsonProperty("tenant")
    TENANT,
    /** A request class of a service. */
    @JsonProperty("class")
    REQUEST_CLASS,
    /** The limits that a balancer applies to a service. */
    @JsonProperty("limits")
    LIMITS
}
