package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.RequestDescriptor;
import org.junit.jupiter.api.Test;

/** Load shedding among pending requests. */
class LoadShedderTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    /** Another balancer may have capacity, where there are others. */
    @Test
    void requestUnsentForHalfItsTimeIsRejectedOnlyInALargeGroup() {
        for (int group : List.of(3, 14)) {
            config.balancerCount = group;
            PolicyHarness harness =
                    PolicyHarness.start(config); // no endpoint: all requests are pending
            String id = harness.request(0, 2 * SECOND);
            harness.advance(800 * MILLI);
            assertEquals(List.of(), harness.rejected, "with " + group);
            harness.advance(200 * MILLI);
            assertEquals(group == 14 ? List.of(id) : List.of(), harness.rejected, "with " + group);
        }
    }

    @Test
    void clientRetryIsRejectedSoonerOnceRejectionsAreUsual() {
        for (boolean retry : new boolean[] {true, false}) {
            config.lateResponseRatio = 0;
            PolicyHarness harness = PolicyHarness.start(config);
            for (int i = 0; i < 100; i++) {
                harness.request(0, 2 * SECOND);
                harness.advance(510 * MILLI);
            }
            harness.rejected.clear();
            harness.balancer.requestReceived(
                    harness.nowMicros,
                    new RequestDescriptor("again", 0, 0, null, 0, 2 * SECOND, false, retry));
            harness.advance(100 * MILLI);
            assertEquals(retry, harness.rejected.contains("again"));
        }
    }

    @Test
    void lateRequestIsRejectedOnlyWhereLateResponsesHaveNoWorth() {
        for (double late : new double[] {0, 0.5}) {
            config.lateResponseRatio = late;
            PolicyHarness harness = PolicyHarness.start(config);
            harness.request(0, 2 * SECOND);
            harness.advance(600 * MILLI);
            assertEquals(late == 0 ? 1 : 0, harness.rejected.size());
            harness.advance(1_500 * MILLI);
            assertEquals(1, harness.rejected.size());
        }
    }

    @Test
    void overfullQueueRejectsTheLowestPriority() {
        PolicyHarness harness =
                PolicyHarness.start(config); // no endpoint: all requests are pending
        harness.balancer.setMaxPendingRequests(2);
        String safe = harness.request(0, SECOND);
        String keyed = harness.request(1, SECOND);
        assertTrue(harness.rejected.isEmpty());
        String unsafe = harness.request(2, SECOND);
        assertEquals(
                List.of(safe), harness.rejected, "worth less than " + keyed + " and " + unsafe);
    }
}
