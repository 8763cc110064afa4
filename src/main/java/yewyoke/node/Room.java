package yewyoke.node;

import yewyoke.ops.Door;

/** How many connections a process may have on either side, of the descriptors given. */
record Room(int clients, int upstreams) {
    /**
     * Descriptors for the JVM (jars, selectors, log, lock: 24), discovery, clients accepted in one go (16),
     * and the operators' door with its calls.
     */
    private static final int OWN_DESCRIPTORS = 44 + Door.MOST_CALLS;
    /** Of the rest clients get this part at most; upstreams have the others. */
    private static final double CLIENT_PART = 0.6;

    /** Of two processes the one holds most of the clients, and then the other: half each would not do. */
    private static final double SHARED_CLIENTS = 2 / 3.0;

    /** The room in {@code sockets} descriptors, or that of one of two processes that {@code share} them. */
    static Room of(int sockets, boolean share) {
        int descriptors = Math.max(0, sockets - (share ? 2 : 1) * OWN_DESCRIPTORS);
        int clients = (int) (CLIENT_PART * descriptors);
        int upstreams = descriptors - clients;
        return share ? new Room(Math.max(1, (int) (SHARED_CLIENTS * clients)), Math.max(1, upstreams / 2))
                : new Room(Math.max(1, clients), Math.max(1, upstreams));
    }
}
