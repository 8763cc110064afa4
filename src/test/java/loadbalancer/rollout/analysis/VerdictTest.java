package loadbalancer.rollout.analysis;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import loadbalancer.rollout.plan.Metric;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

/** The arithmetic of the verdict against what its sources promise. */
class VerdictTest {
    /** Ville's bound, looked at after every round, with payoffs as lopsided as the bound allows. */
    @Test
    void wealthRarelyReachesItsThresholdWhereTheHypothesisHolds() {
        Random random = new Random(1);
        int reached = 0;
        for (int run = 0; run < 4_000; run++) {
            SequentialTest wager = new SequentialTest();
            double lucky = 0.02 + 0.9 * random.nextDouble();
            boolean over = false;
            for (int i = 0; i < 300 && !over; i++) {
                // mean 0: wins 1/lucky - 1 with that chance, loses all of the stake otherwise
                wager.add(random.nextDouble() < lucky ? 1 / lucky - 1 : -1, 1);
                over = wager.logWealth() >= Math.log(20);
            }
            reached += over ? 1 : 0;
        }
        assertTrue(reached <= 4_000 / 20, "reached by " + reached);
        assertTrue(reached > 4_000 / 400, "a bet that nobody can win shows nothing: " + reached);
    }

    @Test
    void noSpellShorterThanTheThresholdsHalvingsCanDecide() {
        Comparison c = new Comparison(Metric.SERVED, 0.01);
        int units = 0;
        while (!c.isWorse(Math.log(8_000))) {
            c.add(1e9, 0);
            units++;
        }
        assertTrue(units > Math.log(8_000) / Math.log(2) && units < 30, "units: " + units);
    }

    @Test
    void aDifferenceWithinTheErrorOfTheTimeBeforeIsNotHeldAgainstTheNew() {
        Comparison c = new Comparison(Metric.SERVED, 0.01);
        for (int i = 0; i < 10_000; i++) {
            c.add(0.012, 0.005 * 0.005);
        }
        assertFalse(c.isWorse(Math.log(100)));
        assertFalse(c.isWellEnough(), "nor is it let go on");
    }

    @Test
    void oneBadOrLyingBalancerMovesTheMiddleByLessThanTheSpread() {
        double[] good = {1, 2, 3, 4, 5, 6};
        double[] lied = {1, 2, 3, 4, 5, 1e18};
        assertEquals(3.5, RobustStatistics.trimmed(good));
        assertEquals(3.5, RobustStatistics.trimmed(lied));
        assertEquals(2, RobustStatistics.trimmed(new double[] {-1e18, 2, 3}));
        assertEquals(2.5, RobustStatistics.median(new double[] {4, 1, 2, 3}));
        assertTrue(Double.isNaN(RobustStatistics.median(new double[0])));
    }

    @Test
    void timesFallIntoTheSameBucketsWhicheverWayTheyAreCounted() {
        Histogram times = new Histogram(3);
        long[] expected = new long[Counts.BUCKETS];
        Random random = new Random(2);
        for (int i = 0; i < 5_000; i++) {
            long micros = (long) Math.exp(5 + 12 * random.nextDouble());
            times.recordValue(micros);
            expected[Counts.bucket(micros)]++;
        }
        long[] values = Counts.ofClass(Counts.NEW, new long[] {1, 2, 3, 4, 5}, times);
        long sum = 0;
        for (int i = 0; i < Counts.BUCKETS; i++) {
            assertEquals(expected[i], values[Counts.timePlace(i)], 5, "bucket " + i);
            sum += values[Counts.timePlace(i)];
        }
        assertEquals(5_000, sum);
        assertArrayEquals(new long[] {2, 1, 2, 3, 4, 5}, java.util.Arrays.copyOf(values, 6));
        assertEquals(0.9, Counts.value(Metric.SERVED, values), 1e-12);
        assertEquals(
                0, Counts.ofClass(Counts.OLD, new long[5], new Histogram(3))[Counts.timePlace(3)]);
    }

    @Test
    void whatNobodyCanHaveCountedIsNoFigure() {
        assertTrue(Counts.valid(new long[] {1, 0, 0}, 3));
        assertFalse(Counts.valid(new long[] {1, 0}, 3));
        assertFalse(Counts.valid(new long[] {1, -1, 0}, 3));
        assertFalse(Counts.valid(new long[] {2, Long.MAX_VALUE, 0}, 3));
        assertFalse(Counts.valid(new long[] {3, 1, 1}, 3), "both programs served in it");
    }
}
