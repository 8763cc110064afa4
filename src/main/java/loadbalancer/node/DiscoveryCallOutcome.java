package loadbalancer.node;

/** Why a call to discovery ended. */
enum DiscoveryCallOutcome {
    /** No socket for it here. */
    NOT_DIALLED,
    /** The connection did not come up. */
    NOT_CONNECTED,
    /** Nothing whole was heard for too long. */
    SILENT,
    /** It was answered with something other than 200. */
    REFUSED,
    /** What came can't be read as HTTP. */
    GARBLED,
    /** The answer came to its end. */
    ANSWERED,
    /** The connection ended or broke. */
    CLOSED
}
