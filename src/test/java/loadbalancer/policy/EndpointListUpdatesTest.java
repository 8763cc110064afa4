package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests of the updates of the endpoint list that discovery delivers. */
class EndpointListUpdatesTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void drainingOrRemovedEndpointGetsNoRequests() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(2);
        harness.updateEndpoint(PolicyHarness.endpoint(0, EndpointState.DRAINING, 0));
        for (int i = 0; i < 50; i++) {
            harness.serve(0, 5 * MILLI, u -> 0.5);
        }
        assertEquals(0, harness.sentTo("u0"));
        harness.balancer.updateEndpoints(
                harness.nowMicros,
                EndpointListUpdateType.FULL,
                List.of(PolicyHarness.endpoint(2, EndpointState.READY, 0)));
        harness.sendsByEndpoint.clear();
        harness.serve(0, 5 * MILLI, u -> 0.5);
        assertEquals(Set.of("u2"), harness.sendsByEndpoint.keySet());
    }

    @Test
    void subscribesToTheListAgainAfterAFailure() {
        config.isEndpointListOnRequest = true;
        PolicyHarness harness = PolicyHarness.start(config);
        assertTrue(harness.actions.contains(harness.nowMicros + " watch true"));
        harness.balancer.updateEndpoints(
                harness.nowMicros, EndpointListUpdateType.UNAVAILABLE, List.of());
        harness.advance(5 * SECOND);
        assertTrue(
                harness.actions.stream().filter(action -> action.endsWith("watch true")).count()
                        >= 2);
        config.isEndpointListOnRequest = false;
        assertTrue(PolicyHarness.start(config).actions.isEmpty());
    }
}
