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
        long first = lateness.timerScheduled(10 * MS);
        lateness.timerScheduled(300 * MS);
        now += 10 * MS;
        assertEquals(0, lateness.lagNanos());
        now += 120 * MS;
        assertEquals(120 * MS, lateness.lagNanos());
        lateness.timerExpired(first);
        assertEquals(120 * MS, lateness.lagNanos());
    }

    @Test
    void theLongestDelayFadesUnlessAnotherComes() {
        lateness.timerExpired(lateness.timerScheduled(-400 * MS));
        now += 1_000 * MS;
        assertEquals(200 * MS, lateness.lagNanos());
        lateness.timerExpired(now - 100 * MS);
        assertEquals(200 * MS, lateness.lagNanos(), "a shorter one says nothing new");
        lateness.timerExpired(now - 300 * MS);
        assertEquals(300 * MS, lateness.lagNanos());
        now += 60_000 * MS;
        assertEquals(0, lateness.lagNanos());
    }
}
