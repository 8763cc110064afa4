package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** What outcomes say about endpoints. */
class OutcomeRecorderTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    /** A draining endpoint that the list still names looks idle and would get every request. */
    @Test
    void endpointThatRejectsWithAShortQueueIsEjected() {
        config.balancerCount = 3;
        config.isPeerMessagingAllowed = true;
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        for (int i = 0; i < 40; i++) {
            String id = harness.request(2, 2 * SECOND);
            harness.advance(20 * MILLI);
            while (harness.lastEndpoint(id).equals("u0")) {
                harness.endAttempt(id, AttemptOutcome.REJECTED, MILLI, null);
            }
            harness.endAttempt(id, AttemptOutcome.SUCCESS, 20 * MILLI, PolicyHarness.report(0.5));
        }
        assertTrue(harness.sentTo("u0") <= 2, harness.sendsByEndpoint.toString());
    }
}
