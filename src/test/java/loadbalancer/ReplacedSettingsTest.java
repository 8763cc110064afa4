package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What was worked out from settings goes with them. */
class ReplacedSettingsTest {
    private static final long SECOND = Host.SECOND;

    private static List<String> told(Host host) {
        return host.done.stream()
                .filter(l -> l.contains(" tell "))
                .map(l -> l.split(" ")[2])
                .toList();
    }

    @Test
    void aBalancerThatHasLeftTheGroupIsToldNothing() {
        Host.Config config = new Host.Config();
        config.peers = true;
        config.group = 3;
        Host host = Host.of(config).list(2);
        host.request(0, SECOND);
        assertFalse(told(host).isEmpty());
        host.done.clear();
        config.group = 2;
        host.balancer.updateSettings(host.now, config.settings());
        host.request(0, SECOND);
        host.request(0, SECOND);
        assertEquals(List.of("1"), told(host).stream().distinct().toList());
    }
}
