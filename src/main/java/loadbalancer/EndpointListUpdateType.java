package loadbalancer;

/** What an update of the endpoint list holds. */
public enum EndpointListUpdateType {
    /** The endpoints that have changed. */
    DELTA,
    /** All endpoints. */
    FULL,
    /** All endpoints as they were before a restart; discovery has not confirmed them yet. */
    RESTORED,
    /** Nothing: a call to discovery has failed. */
    UNAVAILABLE
}
