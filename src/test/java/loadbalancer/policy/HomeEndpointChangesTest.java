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

/** Requests that wait for the home endpoint of their key, while the list changes. */
class HomeEndpointChangesTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final List<String> ids = new ArrayList<>();
    private PolicyHarness host;
    private String home;

    /** The endpoints are full and some requests are pending; the home has some of the others. */
    @BeforeEach
    void fill() {
        TestSettings config = new TestSettings();
        config.hasKeyAffinity = true;
        config.drainGraceMicros = 100 * MILLI;
        host = PolicyHarness.start(config);
        host.checker = new RuleChecker(config.settings(), 1.0);
        List<EndpointDescriptor> all =
                List.of(
                        PolicyHarness.endpoint(0, EndpointState.READY, 0),
                        PolicyHarness.endpoint(1, EndpointState.READY, 0));
        host.checker.listed(host.nowMicros, EndpointListUpdateType.RESTORED, all);
        host.balancer.updateEndpoints(host.nowMicros, EndpointListUpdateType.RESTORED, all);
        for (int i = 0; i < 12; i++) {
            ids.add(host.request(0, 2 * SECOND, "k", 20 * MILLI));
        }
        assertTrue(
                host.endpointsByRequest.size() < ids.size() - 2,
                "pending: " + host.endpointsByRequest);
        home = host.lastEndpoint(ids.get(0));
    }

    private void change(EndpointDescriptor entry) {
        host.checker.listed(host.nowMicros, EndpointListUpdateType.DELTA, List.of(entry));
        host.updateEndpoint(entry);
    }

    /** Frees the capacity of the home. */
    private void endAttemptsAtHome() {
        for (String id : List.copyOf(host.endpointsByRequest.keySet())) {
            if (home.equals(host.lastEndpoint(id))) {
                host.endAttempt(id, AttemptOutcome.SUCCESS, 20 * MILLI, null);
            }
        }
    }

    @Test
    void pendingRequestsAreNotSentToADrainingHome() {
        change(
                PolicyHarness.endpoint(
                        Integer.parseInt(home.substring(1)), EndpointState.DRAINING, 0));
        host.advance(250 * MILLI); // beyond the drain grace, within the latency objective
        endAttemptsAtHome();
        host.advance(100 * MILLI);
        assertEquals(List.of(), host.checker.breaches);
    }

    /** The new process is warming up, whatever capacity its predecessor had. */
    @Test
    void pendingRequestsAreNotSentToARestartedHome() {
        endAttemptsAtHome();
        host.advance(10 * MILLI);
        int before = host.sendsByEndpoint.get(home);
        change(
                PolicyHarness.endpoint(
                        Integer.parseInt(home.substring(1)), EndpointState.READY, host.nowMicros));
        endAttemptsAtHome();
        host.advance(100 * MILLI);
        assertTrue(
                host.sendsByEndpoint.get(home) - before <= 1, before + " " + host.sendsByEndpoint);
    }
}
