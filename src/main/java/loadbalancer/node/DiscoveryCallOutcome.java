package loadbalancer.node;

/** Reasons why a call to discovery ended; a log line at DEBUG shows the names. */
enum DiscoveryCallOutcome {
    /** This process had no socket for the connection. */
    NOT_DIALLED,
    /** The connection was not established. */
    NOT_CONNECTED,
    /** No response head or complete line arrived in time. */
    SILENT,
    /** The response had a status other than 200. */
    REFUSED,
    /** The response was not valid HTTP. */
    GARBLED,
    /** The response was received completely. */
    ANSWERED,
    /** The connection was closed or reset before the end of the response. */
    CLOSED
}
