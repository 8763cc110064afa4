package loadbalancer;

/** The content of an update of the endpoint list. */
public enum EndpointListUpdateType {
    /** Only the endpoints that have changed. */
    DELTA,
    /** The complete list. */
    FULL,
    /** The complete list from before a restart, which discovery has not confirmed yet. */
    RESTORED,
    /** No endpoints, because a call to discovery has failed. */
    UNAVAILABLE
}
