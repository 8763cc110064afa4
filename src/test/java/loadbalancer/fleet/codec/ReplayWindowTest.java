package loadbalancer.fleet.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import loadbalancer.fleet.replication.Item;
import org.junit.jupiter.api.Test;

/** Tests that replays are detected whatever the order of arrival. */
class ReplayWindowTest {
    @Test
    void detectsReplaysInAnyOrderForEachProcess() {
        ReplayWindow window = new ReplayWindow();
        Random random = new Random(3);
        List<Long> numbers = new ArrayList<>();
        for (long number = 1; number <= 3_000; number++) {
            numbers.add(number);
        }
        // Numbers are reordered within half a window; each is received twice and is new only once.
        for (int from = 0; from < 3_000; from += 500) {
            Collections.shuffle(numbers.subList(from, from + 500), random);
        }
        for (long number : numbers) {
            assertNull(window.accept("a", 1, number), "new " + number);
            assertEquals(DropReason.REPLAYED, window.accept("a", 1, number));
        }
        assertNull(window.accept("a", 2, 3_000), "another process has its own window");
        assertNull(window.accept("a", 1, Item.MAX_VERSION));
        assertEquals(DropReason.TOO_OLD, window.accept("a", 1, 3_001));
    }
}
