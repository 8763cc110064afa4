package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancer.LoadReport;
import loadbalancer.LoadBalancer.Outcome;
import org.junit.jupiter.api.Test;

/** Events of attempts. */
class AttemptLifecycleTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final PolicyHarness.Config config = new PolicyHarness.Config();

    @Test
    void streamThatHasBegunIsNeitherCancelledNorEnded() {
        config.stream = true;
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(1);
        String id = harness.request(0, 500 * MILLI);
        harness.balancer.opened(harness.nowMicros, id, 0);
        harness.advance(5 * SECOND);
        assertEquals(List.of(), harness.failed);
        assertEquals(List.of(), harness.rejected);
        assertEquals(List.of(), harness.cancelled);
    }

    @Test
    void lateAndUnknownEventsAreIgnored() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(1);
        harness.balancer.clientGone(harness.nowMicros, "never");
        harness.balancer.probed(harness.nowMicros, "never", Outcome.OK, null);
        harness.balancer.probed(harness.nowMicros, "u0", Outcome.TIMEOUT, null);
        harness.balancer.timer(harness.nowMicros, "never");
        harness.balancer.peerMessage(harness.nowMicros, 1, new byte[0]);
        harness.balancer.outcome(
                harness.nowMicros,
                new LoadBalancer.AttemptEnd(
                        "never", 0, "u0", Outcome.OK, 1, true, new LoadReport(1, 1, 1, 1, 1, 1)));
        assertTrue(harness.actions.isEmpty(), harness.actions.toString());
    }

    private static LoadBalancer.Request arriving(PolicyHarness harness, String id) {
        LoadBalancer.Request request =
                new LoadBalancer.Request(id, 2, 0, null, 20 * MILLI, SECOND, true, false);
        harness.balancer.arriving(harness.nowMicros, request);
        return request;
    }

    @Test
    void requestWithIncompleteBodyUsesNoCapacityAndNoTime() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(1);
        for (int i = 0; i < 50; i++) {
            arriving(harness, "a" + i);
        }
        assertEquals(50, harness.sentTo("u0"));
        harness.advance(30 * SECOND);
        assertTrue(harness.rejected.isEmpty() && harness.failed.isEmpty());
        String id = harness.request(2, SECOND);
        assertEquals(1, harness.endpointsByRequest.get(id).size(), "there is room");
        harness.endAttempt(id, Outcome.OK, MILLI, null);
        harness.balancer.received(harness.nowMicros, "a0");
        harness.advance(2 * SECOND);
        assertEquals(
                List.of("a0"), harness.failed, "its time is up, that of the others has not begun");
    }

    @Test
    void largeResponseInTransferUsesNoCapacity() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(1);
        for (int i = 0; i < 50; i++) {
            String id = harness.request(0, SECOND);
            assertEquals(1, harness.endpointsByRequest.get(id).size(), "there is room");
            harness.balancer.opened(harness.nowMicros, id, 0);
        }
        harness.advance(5 * SECOND);
        assertTrue(harness.rejected.isEmpty() && harness.failed.isEmpty());
    }
}
