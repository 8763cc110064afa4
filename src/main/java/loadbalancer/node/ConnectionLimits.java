package loadbalancer.node;

import loadbalancer.admin.AdminServer;

/**
 * Maximum numbers of client and upstream connections, derived from the file descriptors that the
 * process may use.
 */
record ConnectionLimits(int clients, int upstreams) {
    /**
     * Descriptors that are not available for connections: the JVM's (24 for jars, selectors, log
     * and lock file), those of discovery, 16 for clients accepted in one batch, and those of the
     * admin endpoint and its connections.
     */
    static final int OWN_DESCRIPTORS = 44 + AdminServer.MAX_CONNECTIONS;

    /** Fraction of the remaining descriptors for clients; the others are for upstreams. */
    private static final double CLIENT_FRACTION = 0.6;

    /**
     * Fraction of all descriptors for clients while two processes share the descriptors: a third,
     * and a little more for connections without a request. Either process may end up with all
     * clients; a process without free descriptors stops accepting for the time being.
     */
    private static final double SHARED_CLIENT_FRACTION = 1 / 3.0 + 1 / 48.0;

    /**
     * Returns how many requests may be pending: half of the third of the descriptors that clients
     * with requests use; the other half is for requests in flight.
     */
    static int maxPendingRequests(int maxDescriptors) {
        return Math.max(1, maxDescriptors / 6);
    }

    /**
     * Returns the limits of a process that has {@code maxDescriptors} descriptors for itself, or of
     * each of two processes that share them.
     */
    static ConnectionLimits of(int maxDescriptors, boolean isShared) {
        int available = Math.max(0, maxDescriptors - OWN_DESCRIPTORS);
        int clients = (int) (CLIENT_FRACTION * available);
        if (!isShared) {
            return new ConnectionLimits(Math.max(1, clients), Math.max(1, available - clients));
        }
        int sharedClients = Math.min(clients, (int) (SHARED_CLIENT_FRACTION * maxDescriptors));
        return new ConnectionLimits(
                Math.max(1, sharedClients),
                Math.max(1, (available - OWN_DESCRIPTORS - sharedClients) / 2));
    }
}
