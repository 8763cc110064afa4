package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests of the conclusions about endpoints that are drawn from outcomes. */
class OutcomeRecorderTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    /**
     * Guards against sending every request to a draining endpoint: it rejects quickly, so it
     * appears idle while the list still shows it as ready.
     */
    @Test
    void ejectsEndpointThatRejectsWithAShortQueue() {
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
