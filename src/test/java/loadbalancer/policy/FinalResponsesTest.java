package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The final response to requests that were not served. */
class FinalResponsesTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void requestIsRejectedBeforeItsDeadlineWithoutAnyEndpoint() {
        PolicyHarness harness = PolicyHarness.start(config);
        harness.request(2, 300 * MILLI);
        harness.advance(299 * MILLI);
        assertEquals(1, harness.rejected.size());
    }

    @Test
    void pendingRequestIsRejectedBeforeItsDeadlineWhateverTheSweep() {
        config.tickMicros = MILLI;
        for (long timeLeft = 1; timeLeft <= 40; timeLeft++) {
            PolicyHarness harness = PolicyHarness.start(config);
            harness.advance(timeLeft * 137);
            String id = harness.request(2, timeLeft * MILLI);
            harness.advance(timeLeft * MILLI);
            assertEquals(List.of(id), harness.rejected, timeLeft + " ms");
        }
    }

    @Test
    void requestWithoutTimeLeftIsRejectedAtOnceAndNeverSent() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        String none = harness.request(0, 0);
        String less = harness.request(2, -5 * MILLI);
        assertEquals(List.of(none, less), harness.rejected);
        assertTrue(harness.endpointsByRequest.isEmpty(), harness.endpointsByRequest.toString());
    }

    @Test
    void rejectionCarriesRetryAfterOnlyWhereAllowed() {
        for (long most : new long[] {0, 2 * SECOND}) {
            config.maxRetryAfterMicros = most;
            PolicyHarness harness = PolicyHarness.start(config);
            harness.request(2, SECOND);
            harness.advance(2 * SECOND);
            assertEquals(1, harness.retryAfterMicros.size());
            long micros = harness.retryAfterMicros.get(0);
            assertTrue(
                    most == 0 ? micros == 0 : micros > 0 && micros <= most,
                    "Retry-After " + micros);
        }
    }
}
