package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointState;
import loadbalancer.LoadReport;
import loadbalancer.LoadReportSource;
import org.junit.jupiter.api.Test;

/** Probing before a pick, while endpoints restart. */
class LoadProbingRestartTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private static final LoadReport IDLE = new LoadReport(0.1, 0, 0, Double.NaN, Double.NaN, 0);

    private static void replyToProbes(PolicyHarness host, List<String> by) {
        List<String> probed = List.copyOf(host.probes);
        host.probes.clear();
        probed.stream()
                .filter(by::contains)
                .forEach(
                        u ->
                                host.balancer.probeCompleted(
                                        host.nowMicros, u, AttemptOutcome.SUCCESS, IDLE));
    }

    @Test
    void replyOfThePredecessorDoesNotCountAsARoundTrip() {
        TestSettings config = new TestSettings();
        config.loadReportSource = LoadReportSource.PROBES;
        config.probePrice = 0.001;
        config.balancerCount = 12;
        PolicyHarness host = PolicyHarness.start(config).listEndpoints(2);
        host.request(0, 2 * SECOND);
        assertFalse(host.probes.isEmpty(), "it probes before a pick");
        for (int i = 0; i < 2; i++) {
            host.updateEndpoint(
                    PolicyHarness.endpoint(
                            i,
                            EndpointState.READY,
                            host.nowMicros - 60 * SECOND)); // warm by its launch time
        }
        replyToProbes(host, List.of("u0"));
        host.advance(100 * MILLI);
        host.updateEndpoint(
                PolicyHarness.endpoint(2, EndpointState.READY, 0)); // it hangs, and never replies
        String id = host.request(0, 2 * SECOND);
        for (int i = 0; i < 20; i++) {
            host.advance(5 * MILLI);
            replyToProbes(host, List.of("u0", "u1"));
        }
        assertTrue(host.endpointsByRequest.containsKey(id), host.actions.toString());
    }
}
