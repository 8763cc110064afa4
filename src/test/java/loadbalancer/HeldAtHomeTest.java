package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that wait for the upstream where their key is at home, while the list changes. */
class HeldAtHomeTest {
    private static final long SECOND = Host.SECOND;
    private static final long MILLI = Host.MILLI;

    private final List<String> ids = new ArrayList<>();
    private Host host;
    private String home;

    /** The upstreams are full and some requests are held; the home has some of the others. */
    @BeforeEach
    void fill() {
        Host.Config config = new Host.Config();
        config.warmKeys = true;
        config.drainGrace = 100 * MILLI;
        host = Host.of(config);
        host.checker = new RuleChecker(config.settings(), 1.0);
        List<EndpointDescriptor> all =
                List.of(Host.up(0, EndpointState.READY, 0), Host.up(1, EndpointState.READY, 0));
        host.checker.told(host.now, EndpointListUpdateType.RESTORED, all);
        host.balancer.updateEndpoints(host.now, EndpointListUpdateType.RESTORED, all);
        for (int i = 0; i < 12; i++) {
            ids.add(host.request(0, 2 * SECOND, "k", 20 * MILLI));
        }
        assertTrue(host.sends.size() < ids.size() - 2, "held: " + host.sends);
        home = host.lastUpstream(ids.get(0));
    }

    private void told(EndpointDescriptor u) {
        host.checker.told(host.now, EndpointListUpdateType.DELTA, List.of(u));
        host.change(u);
    }

    /** Every attempt at the home ends, which makes room there. */
    private void homeAnswers() {
        for (String id : List.copyOf(host.sends.keySet())) {
            if (home.equals(host.lastUpstream(id))) {
                host.end(id, AttemptOutcome.SUCCESS, 20 * MILLI, null);
            }
        }
    }

    @Test
    void theyAreNotSentToAHomeThatDrains() {
        told(Host.up(Integer.parseInt(home.substring(1)), EndpointState.DRAINING, 0));
        host.advance(250 * MILLI); // beyond the grace of a drain, within the aim
        homeAnswers();
        host.advance(100 * MILLI);
        assertEquals(List.of(), host.checker.breaches);
    }

    /** The process that is at home now is cold, whatever room the one before it had. */
    @Test
    void theyAreNotSentToTheProcessThatHasLeftTheirHome() {
        homeAnswers();
        host.advance(10 * MILLI);
        int before = host.perUpstream.get(home);
        told(Host.up(Integer.parseInt(home.substring(1)), EndpointState.READY, host.now));
        homeAnswers();
        host.advance(100 * MILLI);
        assertTrue(host.perUpstream.get(home) - before <= 1, before + " " + host.perUpstream);
    }
}
