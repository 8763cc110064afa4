package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests of the concurrency limits, which apply while the load of peers is unknown. */
class ConcurrencyLimitsTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void slowResponsesDecreaseTheLimit() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(2);
        for (int i = 0; i < 60; i++) {
            String id = harness.request(0, 2 * SECOND);
            if (harness.lastEndpoint(id) != null) {
                harness.advance(i < 10 ? 20 * MILLI : 900 * MILLI);
                harness.endAttempt(
                        id, AttemptOutcome.SUCCESS, i < 10 ? 20 * MILLI : 900 * MILLI, null);
            }
        }
        harness.sendsByEndpoint.clear();
        for (int i = 0; i < 20; i++) {
            harness.request(0, 2 * SECOND);
        }
        int sent = harness.sendsByEndpoint.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(sent <= 2, "sent " + sent);
    }

    /**
     * Guards against an overload by many balancers: each limit allows at least one request, which
     * makes fourteen from fourteen balancers.
     */
    @Test
    void manyBalancersTogetherCauseNoLongQueue() {
        config.balancerCount = 14;
        config.isProbingAllowed = false;
        Map<String, Integer> inFlight = new HashMap<>();
        for (config.balancerIndex = 0;
                config.balancerIndex < config.balancerCount;
                config.balancerIndex++) {
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(60);
            for (int i = 0; i < 200; i++) {
                harness.request(0, 2 * SECOND);
            }
            harness.sendsByEndpoint.forEach((u, n) -> inFlight.merge(u, n, Integer::sum));
        }
        double mean = inFlight.values().stream().mapToInt(n -> n).sum() / 60.0;
        assertTrue(mean <= 4, "mean in flight at an endpoint: " + mean);
        assertTrue(Collections.max(inFlight.values()) <= 8, inFlight.toString());
    }

    /** One request from each of many balancers is an overload that no single balancer observes. */
    @Test
    void pausesOverloadedEndpointOnlyInALargeTier() {
        for (int balancerCount : List.of(3, 14)) {
            config.balancerCount = balancerCount;
            config.isProbingAllowed = false;
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(1);
            harness.serve(0, 20 * MILLI, u -> 0.9);
            for (int i = 0; i < 40 && harness.endpointsByRequest.size() == i + 1; i++) {
                harness.serve(0, 600 * MILLI, u -> 0.9);
            }
            assertEquals(
                    balancerCount == 14,
                    harness.serve(0, 20 * MILLI, u -> 0.9) == null,
                    "balancers: " + balancerCount);
            harness.advance(6 * SECOND);
            assertNotNull(harness.serve(0, 20 * MILLI, u -> 0.9), "balancers: " + balancerCount);
        }
    }

    /**
     * If the limit rose at a saturated endpoint, slow responses would count as usual and the queue
     * would never become shorter.
     */
    @Test
    void limitDoesNotRiseAtASaturatedEndpoint() {
        Map<Double, Integer> sentByUtilization = new HashMap<>();
        for (double utilization : new double[] {0.5, 1}) {
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(1);
            for (int round = 0; round < 60; round++) {
                List<String> open = new ArrayList<>();
                for (int i = 0; i < 12; i++) {
                    open.add(harness.request(0, 2 * SECOND));
                }
                int sent =
                        (int) open.stream().filter(harness.endpointsByRequest::containsKey).count();
                sentByUtilization.put(utilization, sent);
                while (!open.isEmpty()) {
                    harness.advance(20 * MILLI);
                    for (String id : List.copyOf(open)) {
                        if (harness.endpointsByRequest.containsKey(id)) {
                            harness.endAttempt(
                                    id,
                                    AttemptOutcome.SUCCESS,
                                    20 * MILLI,
                                    PolicyHarness.report(utilization));
                            open.remove(id);
                        }
                    }
                }
            }
        }
        assertEquals(12, sentByUtilization.get(0.5));
        assertTrue(sentByUtilization.get(1.0) < 6, sentByUtilization.toString());
    }
}
