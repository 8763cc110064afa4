package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.TenantQuota;
import org.junit.jupiter.api.Test;

/** Tests of the priority of arriving requests. */
class RequestIntakeTest {
    private static final long SECOND = PolicyHarness.SECOND;

    private final TestSettings config = new TestSettings();

    @Test
    void requestBeyondItsTenantsQuotaHasLowerPriority() {
        for (double requestsPerSecond : new double[] {0, 1}) {
            config.tenantQuotas = List.of(new TenantQuota(requestsPerSecond, 1));
            PolicyHarness harness = PolicyHarness.start(config);
            String first = harness.request(0, 2 * SECOND);
            String second = harness.request(0, 2 * SECOND);
            harness.listEndpoints(1);
            int sentFirst = harness.actions.indexOf(harness.nowMicros + " send " + first + " u0");
            int sentSecond = harness.actions.indexOf(harness.nowMicros + " send " + second + " u0");
            assertEquals(requestsPerSecond > 0, sentFirst < sentSecond, harness.actions.toString());
        }
    }
}
