package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.EndpointListUpdateType;
import org.junit.jupiter.api.Test;

/** Requests that wait for an endpoint. */
class PendingRequestsTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void requestIsSentAtOnceWhereThereIsCapacity() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(4);
        String id = harness.request(0, 2 * SECOND);
        assertNotEquals(null, harness.lastEndpoint(id));
    }

    @Test
    void higherPriorityIsSentFirst() {
        PolicyHarness harness = PolicyHarness.start(config);
        String cheap = harness.request(0, 2 * SECOND);
        String dear = harness.request(2, 2 * SECOND);
        assertNull(harness.lastEndpoint(cheap));
        harness.listEndpoints(1);
        int sentDear = harness.actions.indexOf(harness.nowMicros + " send " + dear + " u0");
        int sentCheap = harness.actions.indexOf(harness.nowMicros + " send " + cheap + " u0");
        assertTrue(sentDear >= 0 && sentDear < sentCheap, harness.actions.toString());
    }

    @Test
    void emptyListKeepsRequestsPendingUntilTheirDeadlineOrTheNextList() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        harness.balancer.updateEndpoints(harness.nowMicros, EndpointListUpdateType.FULL, List.of());
        String refused = harness.request(0, 100 * MILLI);
        harness.advance(100 * MILLI);
        assertEquals(List.of(refused), harness.rejected);
        String served = harness.request(0, 2 * SECOND);
        assertNull(harness.lastEndpoint(served));
        harness.listEndpoints(2);
        assertNotEquals(null, harness.lastEndpoint(served));
    }
}
