package loadbalancer.node;

import loadbalancer.admin.AdminServer;

/** How many connections a process may have on either side, of the descriptors given. */
record ConnectionLimits(int clients, int upstreams) {
    /**
     * Descriptors for the JVM (jars, selectors, log, lock: 24), discovery, clients accepted in one
     * go (16), and the operators' door with its calls.
     */
    static final int OWN_DESCRIPTORS = 44 + AdminServer.MAX_CONNECTIONS;

    /** Of the rest clients get this part at most; upstreams have the others. */
    private static final double CLIENT_PART = 0.6;

    /**
     * At most a third of all descriptors are clients' for requests, and a little more for others.
     * Of two processes either may come to hold all of them: one that has fewer left lets nobody in
     * for that time.
     */
    private static final double SHARED_CLIENTS = 1 / 3.0 + 1 / 48.0;

    /**
     * Half of the connections that clients have for requests: the other half is for those under
     * way.
     */
    static int held(int sockets) {
        return Math.max(1, sockets / 6);
    }

    /**
     * The limits in {@code sockets} descriptors, or those of one of two processes that share them.
     */
    static ConnectionLimits of(int sockets, boolean share) {
        int alone = Math.max(0, sockets - OWN_DESCRIPTORS);
        int clients = (int) (CLIENT_PART * alone);
        if (!share) {
            return new ConnectionLimits(Math.max(1, clients), Math.max(1, alone - clients));
        }
        int both = Math.min(clients, (int) (SHARED_CLIENTS * sockets));
        return new ConnectionLimits(
                Math.max(1, both), Math.max(1, (alone - OWN_DESCRIPTORS - both) / 2));
    }
}
