package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Deadlines of a few ticks. */
class ShortDeadlinesTest {
    /**
     * Its answer would be given up in the same moment: the work is wasted, or done and told as
     * failed.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aRequestThatComesInsideTheMarginOfItsDeadlineIsRefusedUnsent(int cls) {
        Host host = Host.of(new Host.Config()).list(3);
        String id = host.request(cls, 15 * Host.MILLI);
        assertEquals(Map.of(), host.sends);
        assertEquals(List.of(id), host.refused);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void oneWithAMomentMoreIsSent(int cls) {
        Host host = Host.of(new Host.Config()).list(3);
        String id = host.request(cls, 16 * Host.MILLI);
        assertEquals(1, host.sends.get(id).size());
        assertEquals(List.of(), host.refused);
    }
}
