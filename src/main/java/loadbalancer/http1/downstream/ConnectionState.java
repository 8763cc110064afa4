package loadbalancer.http1.downstream;

/** The life of a client connection; it only goes forward. */
enum ConnectionState {
    /** Requests are read and served. */
    OPEN,
    /** No further request is served; a response is still to be written or on its way out. */
    ENDING,
    /** All is written and this side is shut; input is discarded until the client closes too. */
    LINGERING,
    /** Closed by either side. */
    CLOSED
}
