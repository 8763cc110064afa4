package loadbalancer.node;

/** Reasons why a call to discovery ended. */
enum DiscoveryCallOutcome {
    /** This process had no socket for the connection. */
    NO_SOCKET,
    /** The connection was not established. */
    CONNECT_FAILED,
    /** No response head or complete line arrived in time. */
    SILENCE_TIMEOUT,
    /** The response had a status other than 200. */
    ERROR_STATUS,
    /** The response was not valid HTTP. */
    MALFORMED,
    /** The response was received completely. */
    COMPLETE,
    /** The connection was closed or reset before the end of the response. */
    CLOSED
}
