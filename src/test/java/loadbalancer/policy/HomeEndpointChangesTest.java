package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests of requests that wait for the home endpoint of their key while the endpoint list changes.
 */
class HomeEndpointChangesTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final List<String> ids = new ArrayList<>();
    private PolicyHarness harness;
    private String home;

    /**
     * Fills the endpoints so that some requests are pending; some of the others are in flight at
     * the home endpoint.
     */
    @BeforeEach
    void fillEndpoints() {
        TestSettings config = new TestSettings();
        config.hasKeyAffinity = true;
        config.drainGraceMicros = 100 * MILLI;
        harness = PolicyHarness.start(config);
        harness.checker = new RuleChecker(config.settings(), 1.0);
        List<EndpointDescriptor> all =
                List.of(
                        PolicyHarness.endpoint(0, EndpointState.READY, 0),
                        PolicyHarness.endpoint(1, EndpointState.READY, 0));
        harness.checker.listed(harness.nowMicros, EndpointListUpdateType.RESTORED, all);
        harness.balancer.updateEndpoints(harness.nowMicros, EndpointListUpdateType.RESTORED, all);
        for (int i = 0; i < 12; i++) {
            ids.add(harness.request(0, 2 * SECOND, "k", 20 * MILLI));
        }
        assertTrue(
                harness.endpointsByRequest.size() < ids.size() - 2,
                "pending: " + harness.endpointsByRequest);
        home = harness.lastEndpoint(ids.get(0));
    }

    private void deliverChange(EndpointDescriptor entry) {
        harness.checker.listed(harness.nowMicros, EndpointListUpdateType.DELTA, List.of(entry));
        harness.updateEndpoint(entry);
    }

    /** Frees the capacity of the home endpoint. */
    private void endAttemptsAtHome() {
        for (String id : List.copyOf(harness.endpointsByRequest.keySet())) {
            if (home.equals(harness.lastEndpoint(id))) {
                harness.endAttempt(id, AttemptOutcome.SUCCESS, 20 * MILLI, null);
            }
        }
    }

    @Test
    void doesNotSendPendingRequestsToADrainingHome() {
        deliverChange(
                PolicyHarness.endpoint(
                        Integer.parseInt(home.substring(1)), EndpointState.DRAINING, 0));
        harness.advance(250 * MILLI); // beyond the drain grace, within the latency objective
        endAttemptsAtHome();
        harness.advance(100 * MILLI);
        assertEquals(List.of(), harness.checker.breaches);
    }

    /** The new process is warming up, whatever capacity its predecessor had. */
    @Test
    void sendsAtMostOnePendingRequestToARestartedHome() {
        endAttemptsAtHome();
        harness.advance(10 * MILLI);
        int before = harness.sendsByEndpoint.get(home);
        deliverChange(
                PolicyHarness.endpoint(
                        Integer.parseInt(home.substring(1)),
                        EndpointState.READY,
                        harness.nowMicros));
        endAttemptsAtHome();
        harness.advance(100 * MILLI);
        assertTrue(
                harness.sendsByEndpoint.get(home) - before <= 1,
                before + " " + harness.sendsByEndpoint);
    }
}
