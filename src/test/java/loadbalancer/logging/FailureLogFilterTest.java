package loadbalancer.logging;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which of several failures is logged. */
class FailureLogFilterTest {
    private final FailureLogFilter filter = new FailureLogFilter();

    @Test
    void onlyTheFirstOfConsecutiveFailuresIsLogged() {
        assertTrue(filter.shouldLogFailure());
        assertFalse(filter.shouldLogFailure());
        assertFalse(filter.shouldLogFailure());
    }

    @Test
    void aFailureAfterASuccessIsLoggedAgain() {
        filter.recordSuccess();
        assertTrue(filter.shouldLogFailure());
        filter.recordSuccess();
        assertTrue(filter.shouldLogFailure());
        assertFalse(filter.shouldLogFailure());
    }
}
