package loadbalancer.fleet.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that a few malicious values have little influence on the estimates. */
class RobustEstimatorsTest {
    @Test
    void fewMaliciousValuesDoNotMoveAnEstimateBeyondTheOthers() {
        assertEquals(2.5, RobustEstimators.median(List.of(1.0, 4.0, 2.0, 3.0, Double.NaN)));
        assertTrue(Double.isNaN(RobustEstimators.median(List.of())));
        Random random = new Random(4);
        for (int i = 0; i < 200; i++) {
            List<Double> values = new ArrayList<>();
            int honest = 5 + random.nextInt(20);
            for (int k = 0; k < honest; k++) {
                values.add(10 + random.nextDouble());
            }
            for (int k = honest / 4; k > 0; k--) {
                values.add(random.nextBoolean() ? 1e308 : -1e308);
            }
            assertTrue(Math.abs(RobustEstimators.median(values) - 10.5) <= 0.5);
            assertTrue(Math.abs(RobustEstimators.trimmedMean(values, 0.2) - 10.5) <= 0.5);
        }
        assertEquals(5, RobustEstimators.trimmedMean(List.of(1.0, 5.0, 900.0), 0));
        assertEquals(12, RobustEstimators.shrink(14, 4, 10, 4));
        assertEquals(10, RobustEstimators.shrink(Double.NaN, 0, 10, 4));
    }
}
