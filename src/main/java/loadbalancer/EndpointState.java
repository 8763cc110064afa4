package loadbalancer;

/** State of an endpoint in the endpoint list. */
public enum EndpointState {
    READY,
    DRAINING,
    REMOVED
}
