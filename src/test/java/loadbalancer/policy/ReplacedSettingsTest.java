package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What follows from settings is replaced with them. */
class ReplacedSettingsTest {
    private static final long SECOND = PolicyHarness.SECOND;

    private static List<String> notified(PolicyHarness host) {
        return host.actions.stream()
                .filter(line -> line.contains(" notify "))
                .map(line -> line.split(" ")[2])
                .toList();
    }

    @Test
    void balancerThatHasLeftTheGroupIsNotNotified() {
        TestSettings config = new TestSettings();
        config.isPeerMessagingAllowed = true;
        config.balancerCount = 3;
        PolicyHarness host = PolicyHarness.start(config).listEndpoints(2);
        host.request(0, SECOND);
        assertFalse(notified(host).isEmpty());
        host.actions.clear();
        config.balancerCount = 2;
        host.balancer.updateSettings(host.nowMicros, config.settings());
        host.request(0, SECOND);
        host.request(0, SECOND);
        assertEquals(List.of("1"), notified(host).stream().distinct().toList());
    }
}
