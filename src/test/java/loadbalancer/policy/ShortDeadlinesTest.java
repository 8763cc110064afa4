package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Deadlines of a few ticks. */
class ShortDeadlinesTest {
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void requestWithinTheMarginOfItsDeadlineIsRejectedUnsent(int classIndex) {
        PolicyHarness host = PolicyHarness.start(new TestSettings()).listEndpoints(3);
        String id = host.request(classIndex, 15 * PolicyHarness.MILLI);
        assertEquals(Map.of(), host.endpointsByRequest);
        assertEquals(List.of(id), host.rejected);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void requestJustBeyondTheMarginIsSent(int classIndex) {
        PolicyHarness host = PolicyHarness.start(new TestSettings()).listEndpoints(3);
        String id = host.request(classIndex, 16 * PolicyHarness.MILLI);
        assertEquals(1, host.endpointsByRequest.get(id).size());
        assertEquals(List.of(), host.rejected);
    }
}
