package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests of the ejection of endpoints that fail or hang. */
class OutlierDetectionTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void rareErrorsAndSlowResponsesDoNotEjectAnEndpoint() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        for (int i = 0; i < 300; i++) {
            String id = harness.request(0, 2 * SECOND);
            boolean isSlow = harness.lastEndpoint(id).equals("u0");
            harness.advance(isSlow ? 60 * MILLI : 20 * MILLI);
            if (isSlow && i % 20 == 0) {
                harness.endAttempt(id, AttemptOutcome.ERROR, 60 * MILLI, PolicyHarness.report(0.5));
            }
            harness.endAttempt(id, AttemptOutcome.SUCCESS, 20 * MILLI, PolicyHarness.report(0.5));
        }
        assertTrue(harness.sentTo("u0") > 40, harness.sendsByEndpoint.toString());
        assertEquals(List.of(), harness.cancelled);
    }

    @Test
    void ejectsEndpointWithFrequentErrorsThoughItAppearsIdle() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        for (int i = 0; i < 300; i++) {
            String id = harness.request(0, 2 * SECOND);
            harness.advance(5 * MILLI);
            while (harness.lastEndpoint(id).equals("u0")
                    && harness.endpointsByRequest.get(id).size() < 4) {
                harness.endAttempt(id, AttemptOutcome.ERROR, 5 * MILLI, PolicyHarness.report(0.01));
            }
            if (!harness.lastEndpoint(id).equals("u0")) {
                harness.endAttempt(
                        id, AttemptOutcome.SUCCESS, 5 * MILLI, PolicyHarness.report(0.5));
            }
        }
        assertTrue(harness.sentTo("u0") < 40, harness.sendsByEndpoint.toString());
    }

    @Test
    void ejectsUnresponsiveEndpoint() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        for (int i = 0; i < 200; i++) {
            String id = harness.request(0, 2 * SECOND);
            harness.advance(20 * MILLI);
            if (!harness.lastEndpoint(id).equals("u0")) {
                harness.endAttempt(
                        id, AttemptOutcome.SUCCESS, 20 * MILLI, PolicyHarness.report(0.5));
            }
        }
        assertTrue(
                harness.sentTo("u0") > 0 && harness.sentTo("u0") < 12,
                harness.sendsByEndpoint.toString());
    }

    @Test
    void ignoresEjectionsInPanicMode() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        for (int i = 0; i < 60; i++) {
            String id = harness.request(0, 2 * SECOND);
            harness.advance(5 * MILLI);
            for (int k = 0;
                    k < 4
                            && harness.lastEndpoint(id) != null
                            && harness.endpointsByRequest.get(id).size() > k;
                    k++) {
                harness.endAttempt(id, AttemptOutcome.CONNECT_FAILED, 5 * MILLI, null);
            }
        }
        harness.advance(100 * MILLI);
        harness.sendsByEndpoint.clear();
        harness.request(2, 2 * SECOND);
        harness.advance(500 * MILLI);
        assertFalse(harness.sendsByEndpoint.isEmpty());
    }

    @Test
    void connectFailureEjectsEndpointOnlyIfItDoesNotRespond() {
        for (boolean isDown : new boolean[] {true, false}) {
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(1);
            String first = harness.request(0, 2 * SECOND);
            String second = harness.request(2, 2 * SECOND);
            harness.advance(5 * MILLI);
            if (!isDown) {
                harness.endAttempt(first, AttemptOutcome.SUCCESS, 5 * MILLI, null);
            }
            harness.endAttempt(second, AttemptOutcome.CONNECT_FAILED, 5 * MILLI, null);
            if (!isDown) {
                harness.endAttempt(second, AttemptOutcome.SUCCESS, 5 * MILLI, null);
            }
            harness.updateEndpoint(PolicyHarness.endpoint(1, EndpointState.READY, 0));
            harness.advance(100 * MILLI);
            harness.sendsByEndpoint.clear();
            for (int i = 0; i < 40; i++) {
                harness.serve(0, 5 * MILLI, u -> 0.5);
            }
            assertEquals(
                    isDown, harness.sentTo("u0") == 0, isDown + harness.sendsByEndpoint.toString());
        }
    }

    @Test
    void sendsFewAttemptsToUnreachableEndpointsThatAreStillListed() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(6);
        int connectFailures = 0;
        int served = 0;
        for (int i = 0; i < 400; i++) {
            String id = harness.request(i % 3, 2 * SECOND);
            for (int attempts = 0; attempts < 4 && harness.lastEndpoint(id) != null; attempts++) {
                harness.advance(5 * MILLI);
                if (harness.lastEndpoint(id).compareTo("u3") >= 0) {
                    harness.endAttempt(
                            id, AttemptOutcome.SUCCESS, 5 * MILLI, PolicyHarness.report(0.5));
                    served++;
                    break;
                }
                connectFailures++;
                harness.endAttempt(id, AttemptOutcome.CONNECT_FAILED, 5 * MILLI, null);
            }
        }
        assertTrue(served >= 395, "served " + served);
        assertTrue(
                connectFailures > 2 && connectFailures < 40,
                "connect failures: " + connectFailures);
        for (int i = 3; i < 6; i++) {
            assertTrue(harness.sentTo("u" + i) > 80, harness.sendsByEndpoint.toString());
        }
    }

    @Test
    void unavailableCountIncludesDrainingAndEjectedEndpoints() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        assertEquals(0, harness.balancer.unavailableEndpointCount(harness.nowMicros));
        harness.updateEndpoint(PolicyHarness.endpoint(3, EndpointState.DRAINING, 0));
        assertEquals(1, harness.balancer.unavailableEndpointCount(harness.nowMicros));
        String id = harness.request(0, SECOND);
        harness.endAttempt(id, AttemptOutcome.CONNECT_FAILED, MILLI, null);
        assertEquals(2, harness.balancer.unavailableEndpointCount(harness.nowMicros));
        harness.updateEndpoint(PolicyHarness.endpoint(3, EndpointState.REMOVED, 0));
        assertEquals(1, harness.balancer.unavailableEndpointCount(harness.nowMicros));
    }
}
