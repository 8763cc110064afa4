package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UploadTimingTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int MAX = (int) UploadTiming.MAX_IN_TRANSIT_BYTES;

    private long now;

    private UploadTiming timing(long length) {
        return new UploadTiming(length, () -> now);
    }

    private void blockFor(UploadTiming timing, long nanos) {
        timing.setBlocked(true);
        now += nanos;
        timing.setBlocked(false);
    }

    @Test
    void waitIsTheSumOfTheTimesInWhichTheBodyWasBlocked() {
        UploadTiming timing = timing(100);
        timing.received(10);
        blockFor(timing, SECOND);
        timing.received(10);
        blockFor(timing, SECOND);
        timing.setBlocked(true);
        now += SECOND;
        assertEquals(3 * SECOND, timing.maxWaitNanos());
    }

    @Test
    void clientThatPausedBeforeItsBytesHasWrittenThemSince() {
        UploadTiming timing = timing(100);
        timing.received(10);
        blockFor(timing, SECOND);
        now += SECOND / 10;
        timing.received(10);
        assertEquals(0, timing.maxWaitNanos());
    }

    @Test
    void clientWithMoreToSendThanCanBeInTransitWaits() {
        UploadTiming timing = timing(2L * MAX);
        timing.received(10);
        assertFalse(timing.mayBeSentCompletely());
        blockFor(timing, SECOND);
        assertEquals(0, timing.maxWaitNanos());
        timing.received(MAX);
        assertTrue(timing.mayBeSentCompletely());
        blockFor(timing, SECOND);
        assertEquals(SECOND, timing.maxWaitNanos());
    }

    /** Of a body of unknown length, what is read now was in transit one window ago at most. */
    @Test
    void timesBeforeTheLastTwoWindowsDoNotCount() {
        UploadTiming timing = timing(-1);
        timing.received(10);
        blockFor(timing, SECOND);
        timing.received(MAX);
        assertEquals(SECOND, timing.maxWaitNanos());
        timing.received(MAX);
        assertEquals(0, timing.maxWaitNanos());
    }
}
