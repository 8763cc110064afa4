package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.EndpointListUpdateType;
import org.junit.jupiter.api.Test;

/** Tests of requests that wait for an endpoint. */
class PendingRequestsTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void sendsRequestAtOnceIfAnEndpointHasCapacity() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        String id = harness.request(0, 2 * SECOND);
        assertNotEquals(null, harness.lastEndpoint(id));
    }

    @Test
    void sendsRequestWithHigherPriorityFirst() {
        PolicyHarness harness = PolicyHarness.start(config);
        String lowPriority = harness.request(0, 2 * SECOND);
        String highPriority = harness.request(2, 2 * SECOND);
        assertNull(harness.lastEndpoint(lowPriority));
        harness.listEndpoints(1);
        int sentHighPriority =
                harness.actions.indexOf(harness.nowMicros + " send " + highPriority + " u0");
        int sentLowPriority =
                harness.actions.indexOf(harness.nowMicros + " send " + lowPriority + " u0");
        assertTrue(
                sentHighPriority >= 0 && sentHighPriority < sentLowPriority,
                harness.actions.toString());
    }

    @Test
    void emptyListKeepsRequestsPendingUntilTheirDeadlineOrTheNextList() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        harness.balancer.updateEndpoints(harness.nowMicros, EndpointListUpdateType.FULL, List.of());
        String rejected = harness.request(0, 100 * MILLI);
        harness.advance(100 * MILLI);
        assertEquals(List.of(rejected), harness.rejected);
        String served = harness.request(0, 2 * SECOND);
        assertNull(harness.lastEndpoint(served));
        harness.listEndpoints(2);
        assertNotEquals(null, harness.lastEndpoint(served));
    }
}
