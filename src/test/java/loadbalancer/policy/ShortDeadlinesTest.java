package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of deadlines that are only a few ticks away. */
class ShortDeadlinesTest {
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void rejectsRequestWithinTheDeadlineMarginWithoutSending(int classIndex) {
        PolicyHarness harness = PolicyHarness.start(new TestSettings()).listEndpoints(3);
        String id = harness.request(classIndex, 15 * PolicyHarness.MILLI);
        assertEquals(Map.of(), harness.endpointsByRequest);
        assertEquals(List.of(id), harness.rejected);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void sendsRequestJustOutsideTheDeadlineMargin(int classIndex) {
        PolicyHarness harness = PolicyHarness.start(new TestSettings()).listEndpoints(3);
        String id = harness.request(classIndex, 16 * PolicyHarness.MILLI);
        assertEquals(1, harness.endpointsByRequest.get(id).size());
        assertEquals(List.of(), harness.rejected);
    }
}
