package loadbalancer.logging;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests which occurrences of a repeated event are logged. */
class QuietPeriodLogFilterTest {
    private static final long MINUTE_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final QuietPeriodLogFilter filter = new QuietPeriodLogFilter();

    @Test
    void logsFirstOccurrenceAtAnyTime() {
        assertTrue(filter.shouldLog(Long.MIN_VALUE));
    }

    @Test
    void doesNotLogOccurrenceWithinOneMinuteOfTheLast() {
        assertTrue(filter.shouldLog(0));
        assertFalse(filter.shouldLog(MINUTE_NANOS));
        assertFalse(filter.shouldLog(2 * MINUTE_NANOS));
    }

    @Test
    void logsOccurrenceAfterQuietMinute() {
        assertTrue(filter.shouldLog(0));
        assertTrue(filter.shouldLog(MINUTE_NANOS + 1));
    }
}
