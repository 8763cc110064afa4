package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How far a loop is behind, in nanoseconds. */
class LatenessTest {
    private static final long MS = 1_000_000;

    private long now = 5 * MS;
    private final EventLoopLag lateness = new EventLoopLag(() -> now);

    @Test
    void aTimerThatShouldHaveRunTellsBeforeItRuns() {
        long first = lateness.set(10 * MS);
        lateness.set(300 * MS);
        now += 10 * MS;
        assertEquals(0, lateness.behind());
        now += 120 * MS;
        assertEquals(120 * MS, lateness.behind());
        lateness.ran(first);
        assertEquals(120 * MS, lateness.behind());
    }

    @Test
    void theLongestDelayFadesUnlessAnotherComes() {
        lateness.ran(lateness.set(-400 * MS));
        now += 1_000 * MS;
        assertEquals(200 * MS, lateness.behind());
        lateness.ran(now - 100 * MS);
        assertEquals(200 * MS, lateness.behind(), "a shorter one says nothing new");
        lateness.ran(now - 300 * MS);
        assertEquals(300 * MS, lateness.behind());
        now += 60_000 * MS;
        assertEquals(0, lateness.behind());
    }
}
