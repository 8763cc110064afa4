package loadbalancer.node;

import loadbalancer.transport.MemoryQuota;

/** Derives the memory that may be held for peers from the memory that the balancer may use. */
final class MemoryLimits {
    /** Number of processes that share the memory while one replaces another. */
    private static final int PROCESSES = 2;

    /** Memory of a process that serves and holds nothing for peers. */
    static final int OWN_MEGABYTES = 38;

    /**
     * Heap that a byte held takes, with garbage that has not been collected, and with what its
     * connection takes that is not counted.
     */
    private static final double HEAP_PER_HELD_BYTE = 3;

    /** Enough for some tens of requests, however little memory there is. */
    private static final long MIN_QUOTA_BYTES = 2L << 20;

    private static final long BYTES_PER_MEGABYTE = 1L << 20;

    private MemoryLimits() {}

    /**
     * Returns the limit on the memory that a process holds for peers, in bytes. Each of two
     * processes may use half of the balancer's memory.
     *
     * @param memoryMegabytes memory that the balancer may use; 0 if it is not limited
     * @param maxHeapBytes maximum heap of the process
     */
    static long peerMemoryBytes(int memoryMegabytes, long maxHeapBytes) {
        long ofHeap = MemoryQuota.limitOfHeap(maxHeapBytes);
        if (memoryMegabytes <= 0) {
            return ofHeap;
        }
        int forPeersMegabytes = memoryMegabytes / PROCESSES - OWN_MEGABYTES;
        long limit = (long) (forPeersMegabytes * BYTES_PER_MEGABYTE / HEAP_PER_HELD_BYTE);
        return Math.min(ofHeap, Math.max(MIN_QUOTA_BYTES, limit));
    }
}
