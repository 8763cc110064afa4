package loadbalancer.http1.downstream;

/** How far the life of a client's connection has come; it only goes forward. */
enum ConnectionState {
    /** Requests are taken. */
    OPEN,
    /** None is taken any more; an answer is still to be written or on its way out. */
    ENDING,
    /** All is written and our side is shut; what comes is dropped until the client closes, too. */
    LINGERING,
    /** Closed by either side. */
    CLOSED
}
