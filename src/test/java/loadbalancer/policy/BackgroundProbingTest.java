package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import loadbalancer.LoadReportSource;
import org.junit.jupiter.api.Test;

/** Tests of background probing for load reports. */
class BackgroundProbingTest {
    private static final long SECOND = PolicyHarness.SECOND;

    private final TestSettings config = new TestSettings();

    @Test
    void probesOnlyIfReportsArriveByProbesAndProbingIsAllowed() {
        PolicyHarness responsesOnly = PolicyHarness.start(config).listEndpoints(3);
        responsesOnly.advance(5 * SECOND);
        assertTrue(responsesOnly.probes.isEmpty());
        config.loadReportSource = LoadReportSource.PROBES;
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        harness.advance(60 * SECOND);
        assertEquals(3, new HashSet<>(harness.probes).size());
        config.isProbingAllowed = false;
        PolicyHarness forbidden = PolicyHarness.start(config).listEndpoints(3);
        forbidden.advance(5 * SECOND);
        assertTrue(forbidden.probes.isEmpty());
    }
}
