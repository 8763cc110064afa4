package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.LoadReport;
import loadbalancer.LoadReportSource;
import org.junit.jupiter.api.Test;

/** Tests of probing before a pick. */
class LoadProbingTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    private PolicyHarness probingHarness() {
        config.balancerCount = 3;
        config.loadReportSource = LoadReportSource.PROBES;
        config.probePrice = 0.001;
        return PolicyHarness.start(config).listEndpoints(3);
    }

    @Test
    void probesTheSubsetBeforeAPickAndSkipsEndpointsWithoutReply() {
        PolicyHarness harness = probingHarness();
        for (int i = 0; i < 20; i++) {
            String id = harness.request(0, 2 * SECOND);
            assertNull(harness.lastEndpoint(id));
            for (String endpoint : List.copyOf(harness.probes)) {
                if (!endpoint.equals("u0")) {
                    harness.balancer.probeCompleted(
                            harness.nowMicros,
                            endpoint,
                            AttemptOutcome.SUCCESS,
                            new LoadReport(
                                    0.5,
                                    endpoint.equals("u1") ? 5 : 0,
                                    0,
                                    Double.NaN,
                                    Double.NaN,
                                    Double.NaN));
                }
            }
            harness.probes.clear();
            harness.advance(20 * MILLI);
            assertEquals("u2", harness.lastEndpoint(id));
            harness.endAttempt(id, AttemptOutcome.SUCCESS, 20 * MILLI, null);
            harness.advance(100 * MILLI);
        }
    }

    /** Guards against overload: picks by outdated queue lengths would overload every endpoint. */
    @Test
    void sendsNothingToEndpointsOfUnknownLoadWhenProbeTokensAreSpent() {
        PolicyHarness harness = probingHarness();
        for (int i = 0; i < 40; i++) {
            harness.request(0, 2 * SECOND);
            harness.advance(20 * MILLI);
        }
        assertTrue(harness.probes.size() > 10, "probes: " + harness.probes.size());
        assertTrue(harness.endpointsByRequest.isEmpty(), harness.endpointsByRequest.toString());
    }
}
