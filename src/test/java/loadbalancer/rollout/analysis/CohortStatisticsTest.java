package loadbalancer.rollout.analysis;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CohortStatisticsTest {
    @Test
    void outlierShiftsTrimmedMeanByLessThanTheSpread() {
        double[] honest = {1, 2, 3, 4, 5, 6};
        double[] withOutlier = {1, 2, 3, 4, 5, 1e18};
        assertEquals(3.5, CohortStatistics.trimmedMean(honest));
        assertEquals(3.5, CohortStatistics.trimmedMean(withOutlier));
        assertEquals(2, CohortStatistics.trimmedMean(new double[] {-1e18, 2, 3}));
    }

    @Test
    void medianAveragesTheMiddleTwoAndIsNanWithoutValues() {
        assertEquals(2.5, CohortStatistics.median(new double[] {4, 1, 2, 3}));
        assertTrue(Double.isNaN(CohortStatistics.median(new double[0])));
    }
}
