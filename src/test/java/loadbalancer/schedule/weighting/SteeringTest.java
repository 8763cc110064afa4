package loadbalancer.schedule.weighting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A small fleet with the mechanism's formula: utilisation is the share of the load over capacity.
 */
class SteeringTest {
    private static final double GAIN = 1, LEAK = 0.02, CLAMP = 6; // as in Balance

    /**
     * How the share follows from weights: in proportion where lines are short, by the 4th root
     * where long.
     */
    private enum Lines {
        SHORT,
        LONG
    }

    /**
     * Twelve balancers, each with weights of its own, that see the same reports one period late.
     */
    private static double[] shares(
            double[] capacity,
            double load,
            double[] wanted,
            boolean target,
            Lines lines,
            int periods,
            SplittableRandom random) {
        int n = capacity.length;
        double[][] log = new double[12][n];
        double[] shown = new double[n];
        double[] share = new double[n];
        double all = Arrays.stream(capacity).sum();
        double[] steered = new double[n];
        Arrays.fill(steered, 1);
        for (int t = 0; t < periods; t++) {
            Arrays.fill(share, 0);
            for (double[] own : log) {
                double mean = Steering.mean(shown, capacity, steered);
                Steering.Plan plan = Steering.plan(wanted, capacity, mean);
                steered = target ? plan.factors() : steered;
                double[] score = new double[n];
                for (int i = 0; i < n; i++) {
                    double to =
                            t == 0
                                    ? shown[i]
                                    : target ? Steering.target(plan.factors()[i], mean) : mean;
                    double leak = target ? Steering.leak(wanted[i], LEAK) : LEAK;
                    double moved = own[i] * (1 - leak) + GAIN * (to - shown[i]);
                    own[i] = Math.max(-CLAMP, Math.min(CLAMP, moved));
                    double weight = Math.exp(own[i]) * (target ? plan.factors()[i] : wanted[i]);
                    score[i] =
                            capacity[i] * (lines == Lines.SHORT ? weight : Math.pow(weight, 0.25));
                }
                double sum = Arrays.stream(score).sum();
                for (int i = 0; i < n; i++) {
                    share[i] += score[i] / sum / log.length;
                }
            }
            for (int i = 0; i < n; i++) {
                double noise = 1 + 0.05 * (random.nextDouble() - 0.5);
                shown[i] = Math.min(1, share[i] * load * all / capacity[i] * noise);
            }
        }
        return share;
    }

    @Test
    void halfTheFactorIsHalfTheShareAndStaysSoForAThousandPeriods() {
        for (Lines lines : Lines.values()) {
            for (int halved : List.of(1, 3, 5)) {
                double[] wanted = new double[10];
                double[] capacity = new double[10];
                for (int i = 0; i < 10; i++) {
                    wanted[i] = i < halved ? 0.5 : 1;
                    capacity[i] = 1 + i % 3;
                }
                for (int periods : new int[] {40, 200, 1_000}) {
                    double[] usual =
                            shares(
                                    capacity,
                                    0.5,
                                    new double[] {1, 1, 1, 1, 1, 1, 1, 1, 1, 1},
                                    true,
                                    lines,
                                    periods,
                                    new SplittableRandom(1));
                    double[] now =
                            shares(
                                    capacity,
                                    0.5,
                                    wanted,
                                    true,
                                    lines,
                                    periods,
                                    new SplittableRandom(2));
                    for (int i = 0; i < halved; i++) {
                        assertEquals(
                                0.5, now[i] / usual[i], 0.04, lines + " " + halved + " " + periods);
                    }
                }
            }
        }
    }

    @Test
    void theWeightAloneDriftsBack() {
        double[] wanted = {0.5, 1, 1, 1, 1, 1, 1, 1, 1, 1};
        double[] capacity = {1, 1, 1, 1, 1, 1, 1, 1, 1, 1};
        assertEquals(
                0.053,
                shares(capacity, 0.5, wanted, false, Lines.SHORT, 1, new SplittableRandom(1))[0],
                0.005);
        assertTrue(
                shares(capacity, 0.5, wanted, false, Lines.SHORT, 40, new SplittableRandom(1))[0]
                        > 0.09);
    }

    @Test
    void whatIsTakenGoesToTheOthersAndTheMeanStays() {
        SplittableRandom random = new SplittableRandom(3);
        for (int drawn = 0; drawn < 2_000; drawn++) {
            int n = 1 + random.nextInt(20);
            double[] wanted = random.doubles(n, 0.1, 10).map(f -> f > 5 ? 1 : f).toArray();
            double[] capacity = random.doubles(n, 0.5, 8).toArray();
            double mean = random.nextDouble();
            Steering.Plan plan = Steering.plan(wanted, capacity, mean);
            double sum = 0;
            double most = 0;
            for (int i = 0; i < n; i++) {
                sum += capacity[i] * plan.factors()[i];
                most = Math.max(most, plan.factors()[i]);
                assertTrue(plan.factors()[i] > 0.009, plan.toString());
            }
            assertEquals(Arrays.stream(capacity).sum(), sum, 1e-9);
            assertTrue(most * mean <= Math.max(Steering.ROOM, mean) + 1e-9);
            assertTrue(plan.kept() >= 0 && plan.kept() <= 1);
        }
    }

    @Test
    void thoseThatSeeOtherPartsOfTheFleetSteerToTheSame() {
        double[] factors = {0.5, 0.5, 1.5, 1.5};
        double[] capacity = {1, 2, 1, 2};
        double[] loads = {0.2, 0.2, 0.6, 0.6};
        for (int hidden = 0; hidden < 4; hidden++) {
            double[] seen = loads.clone();
            seen[hidden] = Double.NaN;
            assertEquals(0.4, Steering.mean(seen, capacity, factors), 1e-12);
        }
    }

    @Test
    void roomWinsOverFactors() {
        double[] wanted = {0.1, 0.1, 1, 1};
        double[] capacity = {1, 1, 1, 1};
        assertEquals(1, Steering.plan(wanted, capacity, 0.3).kept());
        Steering.Plan tight = Steering.plan(wanted, capacity, 0.6);
        assertEquals(0.8, tight.factors()[2] * 0.6, 1e-9);
        assertTrue(tight.kept() > 0 && tight.kept() < 1);
        assertEquals(0, Steering.plan(wanted, capacity, 0.85).kept());
        assertEquals(1, Steering.plan(wanted, capacity, 0.85).factors()[0]);
    }

    @Test
    void aFactorOfOneClassMovesTheTargetByItsPartOfTheWork() {
        double over = Steering.ofWork(new double[] {0.25, 0.75}, new double[] {0.2, 1});
        assertEquals(0.8, over, 1e-9);
        assertEquals(0.2, Steering.multiplier(0.8, over, 0.2), 1e-9);
        assertEquals(
                5, Steering.multiplier(0.7, over, 1) / Steering.multiplier(0.7, over, 0.2), 1e-9);
    }

    @Test
    void theLineOfRoomIsSaidOnceAndTakenBackAfterAWhile() {
        List<String> lines = new ArrayList<>();
        Headroom line = new Headroom(lines::add);
        for (long now = 0; now < 300_000_000; now += 1_000_000) {
            line.note(now, now < 100_000_000 && now / 1_000_000 % 2 == 0 ? 0.4 : 1);
        }
        assertEquals(2, lines.size());
        assertTrue(lines.get(0).contains("40%"));
    }
}
