package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests of which requests may be retried. */
class RetryEligibilityTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void failsNonIdempotentRequestThatMayHaveBeenExecuted() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        String id = harness.request(2, 2 * SECOND);
        harness.endAttempt(id, AttemptOutcome.CONNECTION_RESET, MILLI, null);
        assertEquals(1, harness.endpointsByRequest.get(id).size());
        assertEquals(List.of(id), harness.failed);
    }

    @Test
    void retriesNonIdempotentRequestThatWasNotExecuted() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        String id = harness.request(2, 2 * SECOND);
        harness.endAttempt(id, AttemptOutcome.REJECTED, MILLI, null);
        harness.advance(100 * MILLI);
        assertEquals(2, harness.endpointsByRequest.get(id).size());
    }

    @Test
    void retriesKeyedRequestOnlyWithinItsScopeAndWindow() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(9);
        String id = harness.request(1, 2 * SECOND);
        harness.endAttempt(id, AttemptOutcome.CONNECTION_RESET, MILLI, null);
        assertEquals(2, harness.endpointsByRequest.get(id).size());
        List<Integer> zones =
                harness.endpointsByRequest.get(id).stream()
                        .map(u -> Integer.parseInt(u.substring(1)) % 3)
                        .toList();
        assertEquals(zones.get(0), zones.get(1));
        harness.advance(1_100 * MILLI);
        harness.endAttempt(id, AttemptOutcome.CONNECTION_RESET, 1_100 * MILLI, null);
        assertEquals(2, harness.endpointsByRequest.get(id).size());
        assertEquals(List.of(id), harness.failed);
    }

    /** The earlier attempt may have been executed in the old process. */
    @Test
    void endpointRestartDoesNotAllowARetryAfterPossibleExecution() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(9);
        for (int classIndex = 1; classIndex <= 2; classIndex++) {
            String id = harness.request(classIndex, 2 * SECOND);
            int zone = Integer.parseInt(harness.lastEndpoint(id).substring(1)) % 3;
            harness.updateEndpoint(
                    PolicyHarness.endpoint(
                            Integer.parseInt(harness.lastEndpoint(id).substring(1)),
                            EndpointState.READY,
                            harness.nowMicros));
            harness.endAttempt(id, AttemptOutcome.CONNECTION_RESET, MILLI, null);
            assertEquals(classIndex == 1 ? 2 : 1, harness.endpointsByRequest.get(id).size());
            assertEquals(zone, Integer.parseInt(harness.lastEndpoint(id).substring(1)) % 3);
        }
    }
}
