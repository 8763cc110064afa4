package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.RequestDescriptor;
import org.junit.jupiter.api.Test;

/** Tests of load shedding among pending requests. */
class LoadShedderTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    /** In a large tier, another balancer may have capacity for the client's retry. */
    @Test
    void rejectsRequestUnsentForHalfItsTimeOnlyInALargeTier() {
        for (int balancerCount : List.of(3, 14)) {
            config.balancerCount = balancerCount;
            PolicyHarness harness =
                    PolicyHarness.start(config); // without endpoints, all requests stay pending
            String id = harness.request(0, 2 * SECOND);
            harness.advance(800 * MILLI);
            assertEquals(List.of(), harness.rejected, "balancers: " + balancerCount);
            harness.advance(200 * MILLI);
            assertEquals(
                    balancerCount == 14 ? List.of(id) : List.of(),
                    harness.rejected,
                    "balancers: " + balancerCount);
        }
    }

    @Test
    void rejectsClientRetryEarlierOnceRejectionsAreFrequent() {
        for (boolean isRetry : new boolean[] {true, false}) {
            config.lateResponseRatio = 0;
            PolicyHarness harness = PolicyHarness.start(config);
            for (int i = 0; i < 100; i++) {
                harness.request(0, 2 * SECOND);
                harness.advance(510 * MILLI);
            }
            harness.rejected.clear();
            harness.balancer.requestReceived(
                    harness.nowMicros,
                    new RequestDescriptor("retry", 0, 0, null, 0, 2 * SECOND, false, isRetry));
            harness.advance(100 * MILLI);
            assertEquals(isRetry, harness.rejected.contains("retry"));
        }
    }

    @Test
    void rejectsLateRequestOnlyIfLateResponsesHaveNoValue() {
        for (double lateResponseRatio : new double[] {0, 0.5}) {
            config.lateResponseRatio = lateResponseRatio;
            PolicyHarness harness = PolicyHarness.start(config);
            harness.request(0, 2 * SECOND);
            harness.advance(600 * MILLI);
            assertEquals(lateResponseRatio == 0 ? 1 : 0, harness.rejected.size());
            harness.advance(1_500 * MILLI);
            assertEquals(1, harness.rejected.size());
        }
    }

    @Test
    void rejectsTheLowestPriorityWhenTheQueueOverflows() {
        PolicyHarness harness =
                PolicyHarness.start(config); // without endpoints, all requests stay pending
        harness.balancer.setMaxPendingRequests(2);
        String idempotent = harness.request(0, SECOND);
        String keyed = harness.request(1, SECOND);
        assertTrue(harness.rejected.isEmpty());
        String notIdempotent = harness.request(2, SECOND);
        assertEquals(
                List.of(idempotent),
                harness.rejected,
                "its priority is lower than that of " + keyed + " and " + notIdempotent);
    }
}
