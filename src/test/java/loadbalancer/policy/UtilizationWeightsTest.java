package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.CapacityWeightKind;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests of the weights by reported utilization. */
class UtilizationWeightsTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void weightFallsAboveTheMeanUtilizationAndRisesBelow() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        for (int i = 0; i < 600; i++) {
            harness.serve(0, 20 * MILLI, u -> u.equals("u0") ? 0.9 : u.equals("u1") ? 0.5 : 0.1);
        }
        assertTrue(harness.sentTo("u0") < harness.sentTo("u1"), harness.sendsByEndpoint.toString());
        assertTrue(
                harness.sentTo("u1") * 2 < harness.sentTo("u2"),
                harness.sendsByEndpoint.toString());
    }

    @Test
    void equalUtilizationKeepsLoadEqual() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        for (int i = 0; i < 600; i++) {
            harness.serve(0, 20 * MILLI, u -> 0.6);
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(200, harness.sentTo("u" + i), 50, harness.sendsByEndpoint.toString());
        }
    }

    @Test
    void capacityWeightScalesTheLoadOnlyIfWeightsAreDeclared() {
        for (CapacityWeightKind weightKind :
                List.of(CapacityWeightKind.NOMINAL, CapacityWeightKind.NONE)) {
            config.capacityWeightKind = weightKind;
            PolicyHarness harness = PolicyHarness.start(config);
            harness.balancer.updateEndpoints(
                    harness.nowMicros,
                    EndpointListUpdateType.RESTORED,
                    List.of(
                            new EndpointDescriptor("u0", 0, 0, 0, EndpointState.READY, 3, 0),
                            new EndpointDescriptor("u1", 0, 0, 0, EndpointState.READY, 1, 0)));
            harness.advance(SECOND);
            for (int i = 0; i < 200; i++) {
                harness.serve(0, 20 * MILLI, u -> 0.5);
            }
            assertEquals(
                    weightKind == CapacityWeightKind.NOMINAL,
                    harness.sentTo("u0") > 150,
                    harness.sendsByEndpoint.toString());
        }
    }

    @Test
    void ignoresInvalidReportsAndClampsUtilizationSlightlyAboveOne() {
        double[] invalidUtilizations = {Double.NaN, -7, 1e9, Double.POSITIVE_INFINITY};
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        for (int i = 0; i < 400; i++) {
            double invalid = invalidUtilizations[i % invalidUtilizations.length];
            harness.serve(0, 20 * MILLI, u -> u.equals("u0") ? invalid : 0.5);
        }
        assertEquals(133, harness.sentTo("u0"), 50, harness.sendsByEndpoint.toString());
        PolicyHarness saturated = PolicyHarness.start(config).listEndpoints(3);
        for (int i = 0; i < 400; i++) {
            saturated.serve(0, 20 * MILLI, u -> u.equals("u0") ? 1.03 : 0.3);
        }
        assertTrue(saturated.sentTo("u0") < 80, saturated.sendsByEndpoint.toString());
    }
}
