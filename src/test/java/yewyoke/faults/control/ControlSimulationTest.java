package yewyoke.faults.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ControlSimulationTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void everyPromiseIsKeptAmongDrawnFaults(long seed) {
        assertEquals(List.of(), ControlSimulation.run(seed).violations());
    }

    @Test void equalSeedsGiveEqualTraces() {
        assertEquals(ControlSimulation.run(7).trace(), ControlSimulation.run(7).trace());
        assertNotEquals(ControlSimulation.run(7).trace(), ControlSimulation.run(8).trace());
    }
}
