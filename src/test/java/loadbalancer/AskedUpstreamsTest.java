package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Upstreams that are asked for their load before a pick, while their processes change. */
class AskedUpstreamsTest {
    private static final long SECOND = Host.SECOND;
    private static final long MILLI = Host.MILLI;
    private static final LoadReport IDLE = new LoadReport(0.1, 0, 0, Double.NaN, Double.NaN, 0);

    private static void answerProbes(Host host, List<String> by) {
        List<String> asked = List.copyOf(host.probes);
        host.probes.clear();
        asked.stream()
                .filter(by::contains)
                .forEach(
                        u ->
                                host.balancer.probeCompleted(
                                        host.now, u, AttemptOutcome.SUCCESS, IDLE));
    }

    /**
     * Taken for a round trip since the beginning of time, it made a pick wait for one that hangs.
     */
    @Test
    void theAnswerOfTheProcessBeforeDoesNotCountAsARoundTrip() {
        Host.Config config = new Host.Config();
        config.reports = LoadReportSource.PROBES;
        config.probePrice = 0.001;
        config.group = 12;
        Host host = Host.of(config).list(2);
        host.request(0, 2 * SECOND);
        assertFalse(host.probes.isEmpty(), "it asks before a pick");
        for (int i = 0; i < 2; i++) {
            host.change(Host.up(i, EndpointState.READY, host.now - 60 * SECOND)); // warm by now
        }
        answerProbes(host, List.of("u0"));
        host.advance(100 * MILLI);
        host.change(Host.up(2, EndpointState.READY, 0)); // it hangs, and never answers
        String id = host.request(0, 2 * SECOND);
        for (int i = 0; i < 20; i++) {
            host.advance(5 * MILLI);
            answerProbes(host, List.of("u0", "u1"));
        }
        assertTrue(host.sends.containsKey(id), host.done.toString());
    }
}
