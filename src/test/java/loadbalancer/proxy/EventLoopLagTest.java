package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Estimation of the lag of the event loop. */
class EventLoopLagTest {
    private static final long MS = 1_000_000;

    private long now = 5 * MS;
    private final EventLoopLag lag = new EventLoopLag(() -> now);

    @Test
    void reportsLagOfOverdueTimerBeforeItRuns() {
        long first = lag.timerScheduled(10 * MS);
        lag.timerScheduled(300 * MS);
        now += 10 * MS;
        assertEquals(0, lag.lagNanos());
        now += 120 * MS;
        assertEquals(120 * MS, lag.lagNanos());
        lag.timerExpired(first);
        assertEquals(120 * MS, lag.lagNanos());
    }

    @Test
    void decaysLongestLagUntilALongerOneOccurs() {
        lag.timerExpired(lag.timerScheduled(-400 * MS));
        now += 1_000 * MS;
        assertEquals(200 * MS, lag.lagNanos());
        lag.timerExpired(now - 100 * MS);
        assertEquals(200 * MS, lag.lagNanos(), "a shorter lag has no effect");
        lag.timerExpired(now - 300 * MS);
        assertEquals(300 * MS, lag.lagNanos());
        now += 60_000 * MS;
        assertEquals(0, lag.lagNanos());
    }
}
