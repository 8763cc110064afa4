package loadbalancer.http1.downstream;

/** What a client connection is doing at present; each has its own time limit. */
enum ConnectionActivity {
    /** A request, or the rest of one, is still to come. */
    AWAITING_REQUEST,
    /** Between two requests. */
    IDLE,
    /** A response is written that the client has not yet read. */
    AWAITING_CLIENT_READ,
    /** The last response is out; the client is still to close its side. */
    LINGERING
}
