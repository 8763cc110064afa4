package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of the final responses to requests that were not served. */
class FinalResponsesTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void rejectsRequestBeforeItsDeadlineWithoutEndpoints() {
        PolicyHarness harness = PolicyHarness.start(config);
        harness.request(2, 300 * MILLI);
        harness.advance(299 * MILLI);
        assertEquals(1, harness.rejected.size());
    }

    @Test
    void rejectsPendingRequestBeforeItsDeadlineIndependentlyOfTheSweep() {
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
    void rejectsRequestWithoutTimeLeftAtOnceWithoutSending() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        String withoutTimeLeft = harness.request(0, 0);
        String pastDeadline = harness.request(2, -5 * MILLI);
        assertEquals(List.of(withoutTimeLeft, pastDeadline), harness.rejected);
        assertTrue(harness.endpointsByRequest.isEmpty(), harness.endpointsByRequest.toString());
    }

    @Test
    void rejectionHasRetryAfterOnlyIfAllowed() {
        for (long maxMicros : new long[] {0, 2 * SECOND}) {
            config.maxRetryAfterMicros = maxMicros;
            PolicyHarness harness = PolicyHarness.start(config);
            harness.request(2, SECOND);
            harness.advance(2 * SECOND);
            assertEquals(1, harness.retryAfterMicros.size());
            long micros = harness.retryAfterMicros.get(0);
            assertTrue(
                    maxMicros == 0 ? micros == 0 : micros > 0 && micros <= maxMicros,
                    "Retry-After " + micros);
        }
    }
}
