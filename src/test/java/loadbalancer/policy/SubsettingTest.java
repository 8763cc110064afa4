package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests of the subsets of a large fleet. */
class SubsettingTest {
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void eachBalancerUsesFewEndpointsAndAllEndpointsAreUsed() {
        config.balancerCount = 120;
        config.isPeerMessagingAllowed = true;
        Set<String> all = new HashSet<>();
        for (config.balancerIndex = 0; config.balancerIndex < 120; config.balancerIndex++) {
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(40);
            for (int i = 0; i < 40; i++) {
                harness.serve(0, 20 * MILLI, u -> 0.5);
            }
            assertTrue(harness.sendsByEndpoint.size() <= 4, harness.sendsByEndpoint.toString());
            all.addAll(harness.sendsByEndpoint.keySet());
        }
        assertEquals(40, all.size());
    }
}
