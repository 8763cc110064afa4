package loadbalancer.rollout.analysis;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class SequentialTestTest {
    /** Checks Ville's bound after every observation, with payoffs as skewed as possible. */
    @Test
    void eValueRarelyReachesTheThresholdIfTheHypothesisIsTrue() {
        Random random = new Random(1);
        int reached = 0;
        for (int run = 0; run < 4_000; run++) {
            SequentialTest test = new SequentialTest();
            double winProbability = 0.02 + 0.9 * random.nextDouble();
            boolean isReached = false;
            for (int i = 0; i < 300 && !isReached; i++) {
                // mean 0: a gain of 1/p - 1 with probability p, else the loss of the whole bet
                boolean wins = random.nextDouble() < winProbability;
                test.observe(wins ? 1 / winProbability - 1 : -1, 1);
                isReached = test.logEValue() >= Math.log(20);
            }
            reached += isReached ? 1 : 0;
        }
        assertTrue(reached <= 4_000 / 20, "runs that reached the threshold: " + reached);
        assertTrue(
                reached > 4_000 / 400,
                "too few runs reached the threshold for a meaningful check: " + reached);
    }
}
