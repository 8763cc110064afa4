package loadbalancer.lab.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.lab.rollout.SimulatedRollout.Outcome;
import org.junit.jupiter.api.Test;

/** The canary analysis on simulated fleets; few runs of what {@link RolloutStudy} counts. */
class RolloutStudyTest {
    private static long halted(List<Outcome> outcomes, int stage) {
        return outcomes.stream()
                .filter(outcome -> outcome.isHalted() && outcome.stage() <= stage)
                .count();
    }

    @Test
    void identicalProgramReachesAllInSpiteOfIncidents() {
        assertEquals(0, halted(RolloutStudy.outcomes(12, Effect.NONE, 40, 1), 9));
        assertEquals(0, halted(RolloutStudy.outcomes(30, Effect.NONE, 10, 1), 9));
    }

    @Test
    void worseProgramIsHaltedInItsFirstStageAndCostsLittle() {
        for (Effect effect : Effect.ALL) {
            if (effect != Effect.NONE && effect.sharedFailedRatio() == 0) {
                List<Outcome> outcomes = RolloutStudy.outcomes(12, effect, 10, 1);
                assertEquals(10, halted(outcomes, 1), effect.name());
                double lost = outcomes.stream().mapToDouble(Outcome::lost).sum();
                double atOnce = outcomes.stream().mapToDouble(Outcome::lostAllAtOnce).sum();
                assertTrue(lost <= 0.2 * atOnce, effect.name());
            }
        }
    }

    @Test
    void programThatOverloadsASharedResourceIsHaltedThoughTheBaselineIsAsBad() {
        List<Outcome> outcomes = RolloutStudy.outcomes(12, Effect.SHARED_OVERLOAD, 10, 1);
        assertEquals(10, halted(outcomes, 3));
    }
}
