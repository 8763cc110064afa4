package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests of the home endpoints of keys and of the preference for the balancer's own zone. */
class KeyAffinityTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void prefersOwnZoneIfCrossZoneAttemptsHaveAPrice() {
        for (double price : new double[] {0, 0.05}) {
            config.crossZonePrice = price;
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
            for (int i = 0; i < 300; i++) {
                harness.serve(0, 20 * MILLI, u -> 0.3);
            }
            assertEquals(price > 0, harness.sentTo("u0") > 250, harness.sendsByEndpoint.toString());
        }
    }

    @Test
    void sendsRequestsOfAKeyToOneHomeOnlyWithKeyAffinity() {
        for (boolean hasKeyAffinity : new boolean[] {false, true}) {
            config.hasKeyAffinity = hasKeyAffinity;
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(6);
            for (int i = 0; i < 200; i++) {
                String id = harness.request(0, 2 * SECOND, "key", 20 * MILLI);
                harness.advance(20 * MILLI);
                harness.endAttempt(id, AttemptOutcome.SUCCESS, 20 * MILLI, null);
            }
            int maxSent = harness.sendsByEndpoint.values().stream().max(Integer::compare).orElse(0);
            assertEquals(hasKeyAffinity, maxSent > 150, harness.sendsByEndpoint.toString());
        }
    }

    @Test
    void homesAreMostlyInTheOwnZoneIfCrossZoneAttemptsHaveAPrice() {
        int[] sentToOwnZone = new int[2];
        config.hasKeyAffinity = true;
        for (int hasPrice = 0; hasPrice < 2; hasPrice++) {
            config.crossZonePrice = hasPrice * 0.0001;
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(6);
            for (int i = 0; i < 300; i++) {
                String id = harness.request(0, 2 * SECOND, "key" + i % 50, 20 * MILLI);
                harness.advance(20 * MILLI);
                harness.endAttempt(id, AttemptOutcome.SUCCESS, 20 * MILLI, null);
            }
            sentToOwnZone[hasPrice] = harness.sentTo("u0") + harness.sentTo("u3");
        }
        assertTrue(
                sentToOwnZone[1] > sentToOwnZone[0] + 50,
                sentToOwnZone[0] + " " + sentToOwnZone[1]);
    }

    /**
     * Requests for a key arrive at all balancers, and the work is cached only if they agree on the
     * endpoint.
     */
    @Test
    void keyHasTheSameHomeAtAllBalancersThoughItIsInFewSubsets() {
        config.balancerCount = 14;
        config.isProbingAllowed = false;
        config.hasKeyAffinity = true;
        Map<String, Integer> served = new HashMap<>();
        for (config.balancerIndex = 0;
                config.balancerIndex < config.balancerCount;
                config.balancerIndex++) {
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(60);
            harness.request(0, 2 * SECOND, "suite", 20 * MILLI);
            harness.sendsByEndpoint.forEach((u, n) -> served.merge(u, n, Integer::sum));
        }
        assertTrue(Collections.max(served.values()) >= 11, served.toString());
    }
}
