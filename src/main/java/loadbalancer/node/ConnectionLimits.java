package loadbalancer.node;

import loadbalancer.admin.AdminServer;

/** Limits on connections on either side, derived from the file descriptors of the process. */
record ConnectionLimits(int clients, int upstreams) {
    /**
     * Descriptors for the JVM (jars, selectors, log, lock: 24), discovery, clients accepted in one
     * go (16), and the admin endpoint with its connections.
     */
    static final int OWN_DESCRIPTORS = 44 + AdminServer.MAX_CONNECTIONS;

    /** Fraction of the rest that clients get at most; connections to endpoints get the others. */
    private static final double CLIENT_FRACTION = 0.6;

    /**
     * Fraction of all descriptors that clients get while two processes share them: a third, and a
     * little more for connections without a request. Either process may come to have all of them;
     * one that has fewer left accepts nobody meanwhile.
     */
    private static final double SHARED_CLIENT_FRACTION = 1 / 3.0 + 1 / 48.0;

    /**
     * Half of the connections of clients with requests; the other half is for requests in flight.
     */
    static int maxPendingRequests(int sockets) {
        return Math.max(1, sockets / 6);
    }

    /**
     * The limits in {@code sockets} descriptors, or those of one of two processes that share them.
     */
    static ConnectionLimits of(int sockets, boolean isShared) {
        int available = Math.max(0, sockets - OWN_DESCRIPTORS);
        int clients = (int) (CLIENT_FRACTION * available);
        if (!isShared) {
            return new ConnectionLimits(Math.max(1, clients), Math.max(1, available - clients));
        }
        int sharedClients = Math.min(clients, (int) (SHARED_CLIENT_FRACTION * sockets));
        return new ConnectionLimits(
                Math.max(1, sharedClients),
                Math.max(1, (available - OWN_DESCRIPTORS - sharedClients) / 2));
    }
}
