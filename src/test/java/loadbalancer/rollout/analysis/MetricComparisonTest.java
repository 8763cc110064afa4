package loadbalancer.rollout.analysis;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.rollout.plan.Metric;
import org.junit.jupiter.api.Test;

class MetricComparisonTest {
    @Test
    void regressionNeedsMoreObservationsThanLog2OfTheThreshold() {
        MetricComparison comparison = new MetricComparison(Metric.NOT_SERVED_ON_TIME, 0.01);
        int observations = 0;
        while (!comparison.isRegression(Math.log(8_000))) {
            comparison.observe(1e9, 0);
            observations++;
        }
        assertTrue(
                observations > Math.log(8_000) / Math.log(2) && observations < 30,
                "observations: " + observations);
    }

    @Test
    void differenceWithinTheBaselineErrorIsUndecided() {
        MetricComparison comparison = new MetricComparison(Metric.NOT_SERVED_ON_TIME, 0.01);
        for (int i = 0; i < 10_000; i++) {
            comparison.observe(0.012, 0.005 * 0.005);
        }
        assertFalse(comparison.isRegression(Math.log(100)));
        assertFalse(comparison.isNonInferior());
    }
}
