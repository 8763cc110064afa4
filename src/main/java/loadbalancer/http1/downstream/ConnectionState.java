package loadbalancer.http1.downstream;

/** The lifecycle state of a client connection; transitions only go forward. */
enum ConnectionState {
    /** Requests are read and served. */
    OPEN,
    /** No further request is served; a response is pending or being written. */
    ENDING,
    /**
     * All responses have been written and the output is shut down; input is discarded until the
     * client closes its side.
     */
    LINGERING,
    /** The connection was closed by either side. */
    CLOSED
}
