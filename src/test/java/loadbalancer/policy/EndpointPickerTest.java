package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of the pick among endpoints. */
class EndpointPickerTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void distributesRequestsByInFlightCountsWithoutReports() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        for (int i = 0; i < 4; i++) {
            harness.request(2, 2 * SECOND);
        }
        assertTrue(harness.sendsByEndpoint.size() >= 3, harness.sendsByEndpoint.toString());
    }

    @Test
    void sameEventsLeadToSameActionsRegardlessOfOtherInstances() {
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            PolicyHarness harness = PolicyHarness.start(config).listEndpoints(5);
            PolicyHarness other = run == 0 ? null : PolicyHarness.start(config).listEndpoints(2);
            for (int i = 0; i < 200; i++) {
                harness.serve(i % 3, 15 * MILLI, u -> u.equals("u1") ? 0.9 : 0.4);
                if (other != null) {
                    other.serve(0, 90 * MILLI, u -> 1);
                }
            }
            runs.add(harness.actions);
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    @Test
    void sendsRequestsToFiveHundredEndpointsAndToASingleOne() {
        PolicyHarness many = PolicyHarness.start(config).listEndpoints(500);
        PolicyHarness one = PolicyHarness.start(config).listEndpoints(1);
        for (int i = 0; i < 100; i++) {
            many.serve(0, 5 * MILLI, u -> 0.5);
            one.serve(0, 5 * MILLI, u -> 0.5);
        }
        assertTrue(many.sendsByEndpoint.size() > 50);
        assertEquals(100, one.sentTo("u0"));
    }
}
