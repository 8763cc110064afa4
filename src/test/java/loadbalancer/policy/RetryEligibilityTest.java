package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Which requests may be sent again. */
class RetryEligibilityTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void unsafeRequestThatMayHaveRunFailsAndIsNotRetried() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        String id = harness.request(2, 2 * SECOND);
        harness.endAttempt(id, AttemptOutcome.CONNECTION_RESET, MILLI, null);
        assertEquals(1, harness.endpointsByRequest.get(id).size());
        assertEquals(List.of(id), harness.failed);
    }

    @Test
    void unsafeRequestThatNeverRanIsRetried() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        String id = harness.request(2, 2 * SECOND);
        harness.endAttempt(id, AttemptOutcome.REJECTED, MILLI, null);
        harness.advance(100 * MILLI);
        assertEquals(2, harness.endpointsByRequest.get(id).size());
    }

    @Test
    void keyedRequestIsRetriedOnlyWithinItsZoneAndTime() {
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

    /** The earlier attempt may have run in the old process. */
    @Test
    void restartedEndpointDoesNotMakeAnAttemptThatMayHaveRunRetriable() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(9);
        for (int cls = 1; cls <= 2; cls++) {
            String id = harness.request(cls, 2 * SECOND);
            int zone = Integer.parseInt(harness.lastEndpoint(id).substring(1)) % 3;
            harness.updateEndpoint(
                    PolicyHarness.endpoint(
                            Integer.parseInt(harness.lastEndpoint(id).substring(1)),
                            EndpointState.READY,
                            harness.nowMicros));
            harness.endAttempt(id, AttemptOutcome.CONNECTION_RESET, MILLI, null);
            assertEquals(cls == 1 ? 2 : 1, harness.endpointsByRequest.get(id).size());
            assertEquals(zone, Integer.parseInt(harness.lastEndpoint(id).substring(1)) % 3);
        }
    }
}
