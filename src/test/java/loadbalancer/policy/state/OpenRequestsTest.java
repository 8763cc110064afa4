package loadbalancer.policy.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.RequestClass;
import loadbalancer.RequestDescriptor;
import org.junit.jupiter.api.Test;

/** The indexes of open requests, and what they hold after a request is done. */
class OpenRequestsTest {
    private static final long SECOND = 1_000_000;
    private static final long BODY_TIMEOUT = 600 * SECOND;
    private static final RequestClass REQUEST_CLASS =
            new RequestClass(
                    "submit",
                    SECOND,
                    0,
                    2 * SECOND,
                    1,
                    0.5,
                    Idempotency.NOT_IDEMPOTENT,
                    IdempotencyScope.ZONE,
                    SECOND,
                    false);
    private static final LoadBalancerLimits LIMITS =
            new LoadBalancerLimits(1, false, false, true, false, 0, false, 0, SECOND, SECOND, 1);

    private final OpenRequests requests = new OpenRequests();

    private OpenRequest add(String id, long nowMicros) {
        OpenRequest request =
                new OpenRequest(
                        new RequestDescriptor(id, 0, 0, null, 0, 2 * SECOND, false, false),
                        new ClassStats(REQUEST_CLASS, new ClassStats[0]),
                        LIMITS,
                        requests.takeSequenceNumber(),
                        nowMicros);
        request.awaitBody(nowMicros + BODY_TIMEOUT);
        requests.add(request);
        return request;
    }

    /**
     * Guards against memory that grows with every client that leaves in the middle of a body: such
     * a request was held for 10 minutes behind any open one.
     */
    @Test
    void requestsThatAreDoneAreNotHeldBehindAnOpenOne() {
        OpenRequest open = add("open", 0);
        for (int i = 0; i < 1_000; i++) {
            OpenRequest left = add("left-" + i, SECOND);
            left.markConcluded();
            requests.removeIfDone(left);
        }
        assertEquals(1, requests.size());
        assertSame(open, requests.earliestDeadline());
    }

    @Test
    void earliestDeadlineComesFirstAndAfterItTheEarliestArrival() {
        OpenRequest later = add("later", SECOND);
        OpenRequest first = add("first", 0);
        OpenRequest second = add("second", 0);
        assertSame(first, requests.earliestDeadline());
        requests.removeEarliestDeadline();
        assertSame(second, requests.earliestDeadline());
        requests.removeEarliestDeadline();
        assertSame(later, requests.earliestDeadline());
        requests.removeEarliestDeadline();
        assertNull(requests.earliestDeadline());
    }

    @Test
    void requestWhoseClockRestartsMovesToItsNewDeadline() {
        OpenRequest first = add("first", 0);
        OpenRequest second = add("second", SECOND);
        requests.restartClock(second, SECOND);
        assertSame(second, requests.earliestDeadline());
        second.markConcluded();
        requests.removeIfDone(second);
        assertSame(first, requests.earliestDeadline());
        assertEquals(1, requests.size());
    }
}
