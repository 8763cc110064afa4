package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Subsets of a large fleet. */
class SubsettingTest {
    private static final long MILLI = PolicyHarness.MILLI;

    private final PolicyHarness.Config config = new PolicyHarness.Config();

    @Test
    void eachBalancerUsesFewEndpointsAndTogetherAllAreUsed() {
        config.group = 120;
        config.peers = true;
        Set<String> all = new HashSet<>();
        for (config.position = 0; config.position < 120; config.position++) {
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
