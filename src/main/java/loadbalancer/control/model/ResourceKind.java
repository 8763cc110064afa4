package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kinds of configuration resources, by their names in JSON. */
public enum ResourceKind {
    /** A service; balancers subscribe to services. */
    @JsonProperty("service")
    SERVICE,
    /** One upstream of a service. */
    @JsonProperty("upstream")
    UPSTREAM,
    /** Maps requests to a class of a service. */
    @JsonProperty("route")
    ROUTE,
    /** A tenant of a service with its allowance. */
    @JsonProperty("tenant")
    TENANT,
    /** A request class of a service. */
    @JsonProperty("class")
    REQUEST_CLASS,
    /** The limits of a balancer for a service. */
    @JsonProperty("limits")
    LIMITS
}
