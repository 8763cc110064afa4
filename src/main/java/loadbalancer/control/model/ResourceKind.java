package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kinds of configuration resources, by their names in JSON. */
public enum ResourceKind {
    /** A service: what balancers subscribe to. */
    @JsonProperty("service")
    SERVICE,
    /** One upstream of a service. */
    @JsonProperty("upstream")
    UPSTREAM,
    /** A rule that leads requests to a class of a service. */
    @JsonProperty("route")
    ROUTE,
    /** A tenant of a service with its allowance. */
    @JsonProperty("tenant")
    TENANT,
    /** A request class of a service. */
    @JsonProperty("class")
    REQUEST_CLASS,
    /** What a balancer may do for a service. */
    @JsonProperty("limits")
    LIMITS
}
