package loadbalancer.capacity;

import java.lang.management.ManagementFactory;
import java.util.function.Supplier;

/** Looks at the heap of this JVM. */
final class Heap {
    /** The serial collector leaves some dead objects where they lie, but for each fourth time. */
    private static final int COLLECTIONS = 4;

    private Heap() {}

    /**
     * Bytes held after a collection: the least seen, since a thread may take room to itself
     * meanwhile.
     */
    static long used() {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
            least =
                    Math.min(
                            least,
                            ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        }
        return least;
    }

    /** Bytes that what is made keeps alive. */
    static long retained(Supplier<Object> maker) {
        long before = used();
        Object made = maker.get();
        long after = used();
        java.lang.ref.Reference.reachabilityFence(made);
        return after - before;
    }
}
