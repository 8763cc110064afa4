package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.LoadReport;
import loadbalancer.RequestDescriptor;
import org.junit.jupiter.api.Test;

/** Tests of the events of attempts. */
class AttemptLifecycleTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void startedStreamIsNotCancelledAtTheDeadline() {
        config.isStreaming = true;
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(1);
        String id = harness.request(0, 500 * MILLI);
        harness.balancer.responseStarted(harness.nowMicros, id, 0);
        harness.advance(5 * SECOND);
        assertEquals(List.of(), harness.failed);
        assertEquals(List.of(), harness.rejected);
        assertEquals(List.of(), harness.cancelled);
    }

    @Test
    void ignoresEventsForUnknownRequestsAndTimers() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(1);
        harness.balancer.clientDisconnected(harness.nowMicros, "unknown");
        harness.balancer.probeCompleted(harness.nowMicros, "unknown", AttemptOutcome.SUCCESS, null);
        harness.balancer.probeCompleted(harness.nowMicros, "u0", AttemptOutcome.TIMEOUT, null);
        harness.balancer.timerExpired(harness.nowMicros, "unknown");
        harness.balancer.peerMessageReceived(harness.nowMicros, 1, new byte[0]);
        harness.balancer.attemptEnded(
                harness.nowMicros,
                new AttemptResult(
                        "unknown",
                        0,
                        "u0",
                        AttemptOutcome.SUCCESS,
                        1,
                        true,
                        new LoadReport(1, 1, 1, 1, 1, 1)));
        assertTrue(harness.actions.isEmpty(), harness.actions.toString());
    }

    private static RequestDescriptor sendRequestHead(PolicyHarness harness, String id) {
        RequestDescriptor request =
                new RequestDescriptor(id, 2, 0, null, 20 * MILLI, SECOND, true, false);
        harness.balancer.requestHeadReceived(harness.nowMicros, request);
        return request;
    }

    @Test
    void requestWithIncompleteBodyUsesNoCapacityAndHasNoDeadline() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(1);
        for (int i = 0; i < 50; i++) {
            sendRequestHead(harness, "a" + i);
        }
        assertEquals(50, harness.sentTo("u0"));
        harness.advance(30 * SECOND);
        assertTrue(harness.rejected.isEmpty() && harness.failed.isEmpty());
        String id = harness.request(2, SECOND);
        assertEquals(
                1, harness.endpointsByRequest.get(id).size(), "the endpoint must have capacity");
        harness.endAttempt(id, AttemptOutcome.SUCCESS, MILLI, null);
        harness.balancer.requestBodyReceived(harness.nowMicros, "a0");
        harness.advance(2 * SECOND);
        assertEquals(List.of("a0"), harness.failed, "only this request has reached its deadline");
    }

    @Test
    void responseInTransferUsesNoCapacity() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(1);
        for (int i = 0; i < 50; i++) {
            String id = harness.request(0, SECOND);
            assertEquals(
                    1,
                    harness.endpointsByRequest.get(id).size(),
                    "the endpoint must have capacity");
            harness.balancer.responseStarted(harness.nowMicros, id, 0);
        }
        harness.advance(5 * SECOND);
        assertTrue(harness.rejected.isEmpty() && harness.failed.isEmpty());
    }
}
