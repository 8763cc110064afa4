package yewyoke.capacity;

import java.lang.management.ManagementFactory;
import java.util.function.Supplier;

/** Looks at the heap of this JVM. */
final class Heap {
    private static final int COLLECTIONS = 3;

    private Heap() { }

    /** Bytes that are held after a collection. */
    static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
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
