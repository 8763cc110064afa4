package loadbalancer.logging;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Which of several occurrences is logged. */
class QuietPeriodLogFilterTest {
    private static final long MINUTE_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final QuietPeriodLogFilter filter = new QuietPeriodLogFilter();

    @Test
    void theFirstOccurrenceIsLoggedAtAnyTime() {
        assertTrue(filter.shouldLog(Long.MIN_VALUE));
    }

    @Test
    void anOccurrenceWithinAMinuteOfTheLastOneIsNotLogged() {
        assertTrue(filter.shouldLog(0));
        assertFalse(filter.shouldLog(MINUTE_NANOS));
        assertFalse(filter.shouldLog(2 * MINUTE_NANOS));
    }

    @Test
    void anOccurrenceAfterAQuietMinuteIsLoggedAgain() {
        assertTrue(filter.shouldLog(0));
        assertTrue(filter.shouldLog(MINUTE_NANOS + 1));
    }
}
