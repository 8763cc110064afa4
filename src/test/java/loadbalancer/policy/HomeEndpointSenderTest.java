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

/** Pending requests that are sent to the homes of their keys. */
class HomeEndpointSenderTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void scarceCapacityGoesToKeysAtHomeButNotToLateRequests() {
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
            List<String> out = new ArrayList<>();
            Map<String, String> waiting = new LinkedHashMap<>();
            for (int i = 0; i < 120; i++) {
                String id =
                        harness.request(
                                0, 2 * SECOND, "key" + i % 40, late == 0 ? 20 * MILLI : SECOND);
                if (harness.lastEndpoint(id) == null) {
                    waiting.put(id, homes.get("key" + i % 40));
                } else {
                    out.add(id);
                }
            }
            harness.advance(20 * MILLI);
            out.forEach(id -> harness.endAttempt(id, AttemptOutcome.SUCCESS, 20 * MILLI, null));
            waiting.keySet().removeIf(id -> harness.lastEndpoint(id) == null);
            long home =
                    waiting.entrySet().stream()
                            .filter(w -> w.getValue().equals(harness.lastEndpoint(w.getKey())))
                            .count();
            assertTrue(waiting.size() > 8, "sent " + waiting.size());
            assertEquals(late == 0, home > 0.75 * waiting.size(), home + " of " + waiting.size());
        }
    }

    /** Two requests of one key are pending, since both endpoints are at their limits. */
    private PolicyHarness twoPendingForTheirHome(String key) {
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
    void pendingRequestIsNotSentToADrainingHome() {
        for (String key : List.of("one", "two", "three", "four")) {
            PolicyHarness harness = twoPendingForTheirHome(key);
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
