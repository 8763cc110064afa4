package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointState;
import loadbalancer.LoadReport;
import loadbalancer.LoadReportSource;
import org.junit.jupiter.api.Test;

/** Tests of probing before a pick while endpoints restart. */
class LoadProbingRestartTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private static final LoadReport IDLE = new LoadReport(0.1, 0, 0, Double.NaN, Double.NaN, 0);

    private static void replyToProbes(PolicyHarness harness, List<String> endpoints) {
        List<String> probed = List.copyOf(harness.probes);
        harness.probes.clear();
        probed.stream()
                .filter(endpoints::contains)
                .forEach(
                        u ->
                                harness.balancer.probeCompleted(
                                        harness.nowMicros, u, AttemptOutcome.SUCCESS, IDLE));
    }

    @Test
    void replyOfAPreviousProcessIsNotMeasuredAsARoundTrip() {
        TestSettings config = new TestSettings();
        config.loadReportSource = LoadReportSource.PROBES;
        config.probePrice = 0.001;
        config.balancerCount = 12;
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(2);
        harness.request(0, 2 * SECOND);
        assertFalse(harness.probes.isEmpty(), "the policy must probe before a pick");
        for (int i = 0; i < 2; i++) {
            harness.updateEndpoint(
                    PolicyHarness.endpoint(
                            i,
                            EndpointState.READY,
                            harness.nowMicros
                                    - 60 * SECOND)); // launched long enough ago to be warm
        }
        replyToProbes(harness, List.of("u0"));
        harness.advance(100 * MILLI);
        harness.updateEndpoint(
                PolicyHarness.endpoint(2, EndpointState.READY, 0)); // never replies to probes
        String id = harness.request(0, 2 * SECOND);
        for (int i = 0; i < 20; i++) {
            harness.advance(5 * MILLI);
            replyToProbes(harness, List.of("u0", "u1"));
        }
        assertTrue(harness.endpointsByRequest.containsKey(id), harness.actions.toString());
    }
}
