package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests of sending pending requests to the home endpoints of their keys. */
class HomeEndpointSenderTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void scarceCapacityGoesToRequestsAtTheirHomeUnlessTheyAreLate() {
        config.hasKeyAffinity = true;
        for (int late = 0; late < 2; late++) {
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
            Map<String, String> homes = new HashMap<>();
            for (int i = 0; i < 40; i++) {
                String id = harness.request(0, 2 * SECOND, "key" + i, 20 * MILLI);
                homes.put("key" + i, harness.lastEndpoint(id));
                harness.advance(20 * MILLI);
                harness.endAttempt(id, AttemptOutcome.SUCCESS, 20 * MILLI, null);
            }
            harness.advance(SECOND);
            List<String> sent = new ArrayList<>();
            Map<String, String> homeById = new LinkedHashMap<>();
            for (int i = 0; i < 120; i++) {
                String id =
                        harness.request(
                                0, 2 * SECOND, "key" + i % 40, late == 0 ? 20 * MILLI : SECOND);
                if (harness.lastEndpoint(id) == null) {
                    homeById.put(id, homes.get("key" + i % 40));
                } else {
                    sent.add(id);
                }
            }
            harness.advance(20 * MILLI);
            sent.forEach(id -> harness.endAttempt(id, AttemptOutcome.SUCCESS, 20 * MILLI, null));
            homeById.keySet().removeIf(id -> harness.lastEndpoint(id) == null);
            long atHome =
                    homeById.entrySet().stream()
                            .filter(e -> e.getValue().equals(harness.lastEndpoint(e.getKey())))
                            .count();
            assertTrue(homeById.size() > 8, "sent " + homeById.size());
            assertEquals(
                    late == 0, atHome > 0.75 * homeById.size(), atHome + " of " + homeById.size());
        }
    }

    /**
     * Starts a policy with two pending requests for one key, because both endpoints are at their
     * limits.
     */
    private PolicyHarness harnessWithTwoPendingRequests(String key) {
        config.balancerCount = 14;
        config.isProbingAllowed = false;
        config.hasKeyAffinity = true;
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(2);
        for (int i = 0; i < 4; i++) {
            harness.request(0, 2 * SECOND, key, 20 * MILLI);
        }
        assertEquals(2, harness.endpointsByRequest.size(), harness.endpointsByRequest.toString());
        return harness;
    }

    @Test
    void doesNotSendPendingRequestToADrainingHome() {
        for (String key : List.of("one", "two", "three", "four")) {
            PolicyHarness harness = harnessWithTwoPendingRequests(key);
            for (String id : List.of("r0", "r1")) {
                harness.updateEndpoint(
                        PolicyHarness.endpoint(
                                Integer.parseInt(harness.lastEndpoint(id).substring(1)),
                                EndpointState.DRAINING,
                                0));
            }
            harness.sendsByEndpoint.clear();
            for (String id : List.of("r0", "r1")) {
                harness.endAttempt(
                        id, AttemptOutcome.SUCCESS, 10 * MILLI, PolicyHarness.report(0.6));
            }
            harness.advance(200 * MILLI);
            assertEquals(0, harness.sendsByEndpoint.size(), key + ": " + harness.sendsByEndpoint);
        }
    }
}
