package loadbalancer.faults.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ControlSimulationTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void everyPromiseIsKeptAmongDrawnFaults(long seed) {
        assertEquals(List.of(), ControlSimulation.run(seed).violations());
    }

    @Test
    void aRestartOfTheWriterSendsNoSnapshotToAnybody() {
        SplittableRandom random = new SplittableRandom(1);
        ControlSimulation simulation =
                new ControlSimulation(SimulationSettings.drawn(1, 20, random), random);
        simulation.startAll();
        simulation.runForMillis(20_000);
        int snapshots = simulation.counters().snapshotsInForce;
        long bytes = simulation.counters().bytesSent;
        simulation.writer().kill();
        simulation.runForMillis(1_000);
        simulation.writer().start();
        simulation.runForMillis(8_000);
        assertEquals(List.of(), simulation.judge());
        assertEquals(snapshots, simulation.counters().snapshotsInForce);
        assertTrue(
                simulation.counters().bytesSent - bytes < 10_000, simulation.counters()::toString);
    }

    @Test
    void equalSeedsGiveEqualTraces() {
        assertEquals(ControlSimulation.run(7).trace(), ControlSimulation.run(7).trace());
        assertNotEquals(ControlSimulation.run(7).trace(), ControlSimulation.run(8).trace());
    }
}
