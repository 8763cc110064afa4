package loadbalancer.faults.process.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.faults.process.plan.Plan;
import loadbalancer.faults.process.plan.Step.Kind;
import loadbalancer.faults.process.run.Verdict.Outcome;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A few seeds of the soak: several faults at a time, signals in series, SIGKILL at the earliest
 * time at which it may come while clients go on sending, and a crowd.
 */
class SoakTest {
    private static final int BALANCERS = 2;

    @BeforeAll
    static void quiet() {
        FleetScenarioTest.quiet();
    }

    private static void assertKept(Plan plan, String name) {
        Verdict verdict = FleetScenarioTest.play(plan, FleetScenarioTest.folder(name), scene -> {});
        assertEquals(List.of(), verdict.faults(), () -> "kept in " + verdict.kept());
        assertEquals(Outcome.KEPT, verdict.outcome());
        assertTrue(
                verdict.served() > verdict.requests() / 2,
                verdict.served() + " of " + verdict.requests());
    }

    @ParameterizedTest
    @ValueSource(longs = {3_001, 3_003, 3_004})
    void rulesHoldAmongSeveralFaults(long seed) {
        assertKept(Plan.soak(seed, BALANCERS), "soak-" + seed);
    }

    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"HAND_OVER_SIGNALS", "RESTART_SIGNALS"})
    void rulesHoldAtAStopWithSignalsInSeriesAmongACrowd(Kind stop) {
        Plan plan =
                Plan.quiet(21, BALANCERS, 4, 60, 6_000)
                        .with(500, Kind.CROWD, 0, 5_000)
                        .with(1_500, stop, 0, 0);
        assertKept(plan, "stop");
    }
}
