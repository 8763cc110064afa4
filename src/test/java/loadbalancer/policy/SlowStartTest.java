package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests of slow start, with endpoints that warm up. */
class SlowStartTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void warmingEndpointGetsOnlyAFewRequests() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        for (int i = 0; i < 500; i++) {
            harness.serve(0, 10 * MILLI, u -> 0.6);
        }
        harness.updateEndpoint(
                PolicyHarness.endpoint(0, EndpointState.READY, harness.nowMicros - MILLI));
        harness.sendsByEndpoint.clear();
        for (int i = 0; i < 1_000; i++) {
            harness.serve(0, 10 * MILLI, u -> 0.6);
        }
        assertTrue(
                harness.sentTo("u0") > 0 && harness.sentTo("u0") < 120,
                harness.sendsByEndpoint.toString());
    }

    /**
     * Guards against a bypass of the slow-start budget: many requests with small hints would pass
     * it, and their actual work would overload the endpoint.
     */
    @Test
    void smallWorkHintIsChargedAtTheMeanCost() {
        int[] sent = new int[2];
        for (int small = 0; small < 2; small++) {
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
            for (int i = 0; i < 500; i++) {
                harness.serve(0, 10 * MILLI, u -> 0.6);
            }
            harness.updateEndpoint(
                    PolicyHarness.endpoint(0, EndpointState.READY, harness.nowMicros - MILLI));
            harness.updateEndpoint(PolicyHarness.endpoint(1, EndpointState.REMOVED, 0));
            harness.updateEndpoint(PolicyHarness.endpoint(2, EndpointState.REMOVED, 0));
            harness.endpointsByRequest.clear();
            Set<String> ended = new HashSet<>();
            for (int i = 0; i < 60; i++) {
                harness.request(0, 2 * SECOND, null, small == 0 ? 20 * MILLI : 2 * MILLI);
                harness.advance(20 * MILLI);
                for (String id : List.copyOf(harness.endpointsByRequest.keySet())) {
                    if (harness.lastEndpoint(id).equals("u0") && ended.add(id)) {
                        harness.endAttempt(
                                id, AttemptOutcome.SUCCESS, 10 * MILLI, PolicyHarness.report(0.6));
                    }
                }
            }
            sent[small] = ended.size();
        }
        assertTrue(sent[0] > 0 && sent[1] > 0 && sent[1] <= 2 * sent[0], sent[0] + " " + sent[1]);
    }

    @Test
    void rejectsRequestsBeforeTheDeadlineWhenAllEndpointsAreWarmingUp() {
        PolicyHarness harness = PolicyHarness.start(config);
        harness.balancer.updateEndpoints(
                harness.nowMicros,
                EndpointListUpdateType.RESTORED,
                List.of(PolicyHarness.endpoint(0, EndpointState.READY, harness.nowMicros - MILLI)));
        for (int i = 0; i < 20; i++) {
            harness.request(0, SECOND);
        }
        harness.advance(2 * SECOND);
        int sent = harness.endpointsByRequest.size();
        assertTrue(sent < 20);
        assertEquals(
                20,
                harness.rejected.size(),
                "all requests must be rejected, because no endpoint responds in this test");
    }

    /**
     * The minimum budget applies although no warm endpoint has been seen; otherwise the balancer
     * would send nothing.
     */
    @Test
    void newBalancerSendsRequestsWhenAllEndpointsAreWarmingUp() {
        PolicyHarness harness = PolicyHarness.start(config);
        List<EndpointDescriptor> all = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            all.add(PolicyHarness.endpoint(i, EndpointState.READY, harness.nowMicros));
        }
        harness.balancer.updateEndpoints(harness.nowMicros, EndpointListUpdateType.RESTORED, all);
        Set<String> served = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            if (i % 3 == 0) {
                harness.request(0, 2 * SECOND);
            }
            harness.advance(20 * MILLI);
            for (String id : List.copyOf(harness.endpointsByRequest.keySet())) {
                if (served.add(id)) {
                    harness.endAttempt(
                            id, AttemptOutcome.SUCCESS, 5 * MILLI, PolicyHarness.report(0.1));
                }
            }
        }
        assertTrue(served.size() >= 40, () -> served.size() + " of 67 requests served in 4 s");
    }
}
