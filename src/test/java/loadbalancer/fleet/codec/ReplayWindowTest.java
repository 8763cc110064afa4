package loadbalancer.fleet.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import loadbalancer.fleet.replication.Item;
import org.junit.jupiter.api.Test;

/** Replays are detected in any order of arrival. */
class ReplayWindowTest {
    @Test
    void replayIsDetectedInAnyOrderAndForEachProcess() {
        ReplayWindow window = new ReplayWindow();
        Random random = new Random(3);
        List<Long> numbers = new ArrayList<>();
        for (long number = 1; number <= 3_000; number++) {
            numbers.add(number);
        }
        // Late by less than the window, twice each: the first is new, the second never.
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
