package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MemoryLimitsTest {
    private static final long HEAP_BYTES = 64L << 20;

    @Test
    void quarterOfTheHeapIsTheLimitWhereMemoryIsNotLimitedOrPlenty() {
        assertEquals(16L << 20, MemoryLimits.peerMemoryBytes(0, HEAP_BYTES));
        assertEquals(16L << 20, MemoryLimits.peerMemoryBytes(256, HEAP_BYTES));
    }

    @ParameterizedTest
    @ValueSource(ints = {88, 96, 104, 128, 208})
    void twoProcessesWithTheirGarbageFitIntoTheMemory(int megabytes) {
        long limit = MemoryLimits.peerMemoryBytes(megabytes, HEAP_BYTES);
        long oneProcess = (38L << 20) + 3 * limit;
        assertTrue(2 * oneProcess <= (long) megabytes << 20, limit + " bytes");
    }

    @Test
    void someRequestsFitHoweverLittleMemoryThereIs() {
        assertEquals(2L << 20, MemoryLimits.peerMemoryBytes(32, HEAP_BYTES));
    }
}
