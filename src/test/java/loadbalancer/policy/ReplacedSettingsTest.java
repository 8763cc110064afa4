package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that state derived from settings is replaced with them. */
class ReplacedSettingsTest {
    private static final long SECOND = PolicyHarness.SECOND;

    private static List<String> notifiedPeers(PolicyHarness harness) {
        return harness.actions.stream()
                .filter(line -> line.contains(" notify "))
                .map(line -> line.split(" ")[2])
                .toList();
    }

    @Test
    void doesNotNotifyBalancerThatHasLeftTheTier() {
        TestSettings config = new TestSettings();
        config.isPeerMessagingAllowed = true;
        config.balancerCount = 3;
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(2);
        harness.request(0, SECOND);
        assertFalse(notifiedPeers(harness).isEmpty());
        harness.actions.clear();
        config.balancerCount = 2;
        harness.balancer.updateSettings(harness.nowMicros, config.settings());
        harness.request(0, SECOND);
        harness.request(0, SECOND);
        assertEquals(List.of("1"), notifiedPeers(harness).stream().distinct().toList());
    }
}
