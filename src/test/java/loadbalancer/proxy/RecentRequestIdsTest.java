package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RecentRequestIdsTest {
    private final ByteBuffer table = ByteBuffer.allocate(RecentRequestIds.SHARED_SIZE_BYTES);
    private long now = TimeUnit.HOURS.toNanos(40);
    private final RecentRequestIds ids = new RecentRequestIds(table, () -> now);

    @Test
    void idIsKnownForAMinute() {
        assertFalse(ids.contains("a"));
        assertTrue(ids.add("a"));
        now += TimeUnit.SECONDS.toNanos(59);
        assertTrue(ids.contains("a"));
        assertFalse(ids.add("a"));
        now += TimeUnit.SECONDS.toNanos(3);
        assertFalse(ids.contains("a"));
        assertTrue(ids.add("a"));
    }

    @Test
    void idOfARequestThatWasNotExecutedMayComeAgain() {
        ids.add("a");
        ids.remove("a");
        assertTrue(ids.add("a"));
    }

    @Test
    void otherProcessSeesTheSameIds() {
        RecentRequestIds other = new RecentRequestIds(table.duplicate(), () -> now);
        ids.add("a");
        assertTrue(other.contains("a"));
        other.add("b");
        assertFalse(ids.add("b"));
    }

    /** Of 20,000 ids, which fill a third of the table, hardly one is forgotten. */
    @Test
    void manyIdsAreKeptAndNoOtherIsMistakenForOne() {
        IntStream.range(0, 20_000).forEach(i -> ids.add("id-" + i));
        assertTrue(
                IntStream.range(0, 20_000).filter(i -> ids.contains("id-" + i)).count() > 19_900);
        assertEquals(0, IntStream.range(0, 20_000).filter(i -> ids.contains("x-" + i)).count());
    }

    /** Guards against memory that grows with ever new ids. */
    @Test
    void newIdsReplaceTheOldestWhenTheTableIsFull() {
        for (int i = 0; i < 300_000; i++) {
            now += 1_000_000;
            ids.add("id-" + i);
        }
        assertTrue(ids.contains("id-299999"));
    }
}
