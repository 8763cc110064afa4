package loadbalancer.logging;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which failures of a repeated action are logged. */
class FailureLogFilterTest {
    private final FailureLogFilter filter = new FailureLogFilter();

    @Test
    void logsOnlyFirstOfConsecutiveFailures() {
        assertTrue(filter.shouldLogFailure());
        assertFalse(filter.shouldLogFailure());
        assertFalse(filter.shouldLogFailure());
    }

    @Test
    void logsFirstFailureAfterSuccess() {
        filter.recordSuccess();
        assertTrue(filter.shouldLogFailure());
        filter.recordSuccess();
        assertTrue(filter.shouldLogFailure());
        assertFalse(filter.shouldLogFailure());
    }
}
