package loadbalancer.lab.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.lab.rollout.Trial.Outcome;
import org.junit.jupiter.api.Test;

/**
 * The verdict on drawn figures of a whole fleet, few of the runs that docs/rollout-design.md
 * counts.
 */
class RolloutStudyTest {
    private static long stopped(List<Outcome> outcomes, int stage) {
        return outcomes.stream().filter(o -> o.stopped() && o.stage() <= stage).count();
    }

    @Test
    void anIdenticalProgramReachesAllWhateverFailsByItself() {
        assertEquals(0, stopped(RolloutStudy.outcomes(12, Effect.SAME, 40, 1), 9));
        assertEquals(0, stopped(RolloutStudy.outcomes(30, Effect.SAME, 10, 1), 9));
    }

    @Test
    void whatIsWorseIsStoppedInItsFirstStageAndCostsLittle() {
        for (Effect effect : Effect.ALL) {
            if (effect != Effect.SAME && effect.jam() == 0) {
                List<Outcome> outcomes = RolloutStudy.outcomes(12, effect, 10, 1);
                assertEquals(10, stopped(outcomes, 1), effect.name());
                double lost = outcomes.stream().mapToDouble(Outcome::lost).sum();
                double atOnce = outcomes.stream().mapToDouble(Outcome::allAtOnce).sum();
                assertTrue(lost <= 0.2 * atOnce, effect.name());
            }
        }
    }

    @Test
    void oneThatJamsWhatAllShareIsStoppedThoughTheOldLooksAsBad() {
        List<Outcome> outcomes = RolloutStudy.outcomes(12, Effect.ALL[6], 10, 1);
        assertEquals(10, stopped(outcomes, 3));
    }
}
