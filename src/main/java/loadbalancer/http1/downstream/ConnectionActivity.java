package loadbalancer.http1.downstream;

/** The current activity of a client connection. Each activity has its own time limit. */
enum ConnectionActivity {
    /** Waiting for a request, or for the rest of a partly received one. */
    AWAITING_REQUEST,
    /** Kept alive between two requests. */
    IDLE,
    /** Waiting for the client to read a response that has been written. */
    AWAITING_CLIENT_READ,
    /** The last response has been sent; waiting for the client to close its side. */
    LINGERING
}
