package loadbalancer.schedule.weighting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Checks the planner, also in a small fleet whose utilisation is the share of the load divided by
 * the capacity.
 */
class FactorPlannerTest {
    // Same values as in the reweighting policy.
    private static final double GAIN = 1;
    private static final double LEAK_RATIO = 0.02;
    private static final double MAX_LOG_WEIGHT = 6;

    /** Length of the queues, which determines how an upstream's share depends on its weight. */
    private enum Queues {
        /** The share is proportional to the weight. */
        SHORT,
        /** The share is proportional to the fourth root of the weight. */
        LONG
    }

    /** The quantities to which the factor applies. */
    private enum Steered {
        WEIGHT,
        WEIGHT_AND_TARGET
    }

    /** Simulated balancers with separate weights that see the same reports one period late. */
    private static final class SimulatedBalancers {
        private static final int BALANCERS = 12;

        private final double[] capacity;
        private final double[] wanted;
        private final Steered steered;
        private final Queues queues;
        private final double[][] logWeights;
        private final double[] reported;
        private double[] factors;

        SimulatedBalancers(double[] capacity, double[] wanted, Steered steered, Queues queues) {
            this.capacity = capacity;
            this.wanted = wanted;
            this.steered = steered;
            this.queues = queues;
            this.logWeights = new double[BALANCERS][capacity.length];
            this.reported = new double[capacity.length];
            this.factors = new double[capacity.length];
            Arrays.fill(factors, 1);
        }

        /** Runs a number of periods and returns the upstreams' shares. */
        double[] run(double load, int periods, SplittableRandom random) {
            double totalCapacity = Arrays.stream(capacity).sum();
            double[] shares = new double[capacity.length];
            for (int period = 0; period < periods; period++) {
                Arrays.fill(shares, 0);
                for (double[] own : logWeights) {
                    addShares(shares, own, period == 0);
                }
                for (int i = 0; i < shares.length; i++) {
                    double noise = 1 + 0.05 * (random.nextDouble() - 0.5);
                    reported[i] =
                            Math.min(1, shares[i] * load * totalCapacity / capacity[i] * noise);
                }
            }
            return shares;
        }

        private void addShares(double[] shares, double[] own, boolean isFirstPeriod) {
            boolean movesTarget = steered == Steered.WEIGHT_AND_TARGET;
            double mean = FactorPlanner.meanUtilisation(reported, capacity, factors);
            FactorPlan plan = FactorPlanner.plan(wanted, capacity, mean);
            factors = movesTarget ? plan.factors() : factors;
            double[] scores = new double[own.length];
            for (int i = 0; i < own.length; i++) {
                double target =
                        movesTarget
                                ? FactorPlanner.targetUtilisation(plan.factors()[i], mean)
                                : mean;
                double leak =
                        movesTarget ? FactorPlanner.leakRatio(wanted[i], LEAK_RATIO) : LEAK_RATIO;
                double error = isFirstPeriod ? 0 : target - reported[i];
                double moved = own[i] * (1 - leak) + GAIN * error;
                own[i] = Math.max(-MAX_LOG_WEIGHT, Math.min(MAX_LOG_WEIGHT, moved));
                double weight = Math.exp(own[i]) * (movesTarget ? plan.factors()[i] : wanted[i]);
                scores[i] =
                        capacity[i] * (queues == Queues.SHORT ? weight : Math.pow(weight, 0.25));
            }
            double sum = Arrays.stream(scores).sum();
            for (int i = 0; i < own.length; i++) {
                shares[i] += scores[i] / sum / BALANCERS;
            }
        }
    }

    private static double[] ones(int length) {
        double[] ones = new double[length];
        Arrays.fill(ones, 1);
        return ones;
    }

    @Test
    void factorOfOneHalfHalvesTheShareForAThousandPeriods() {
        for (Queues queues : Queues.values()) {
            for (int halved : List.of(1, 3, 5)) {
                double[] wanted = new double[10];
                double[] capacity = new double[10];
                for (int i = 0; i < 10; i++) {
                    wanted[i] = i < halved ? 0.5 : 1;
                    capacity[i] = 1 + i % 3;
                }
                for (int periods : new int[] {40, 200, 1_000}) {
                    double[] usual =
                            new SimulatedBalancers(
                                            capacity, ones(10), Steered.WEIGHT_AND_TARGET, queues)
                                    .run(0.5, periods, new SplittableRandom(1));
                    double[] now =
                            new SimulatedBalancers(
                                            capacity, wanted, Steered.WEIGHT_AND_TARGET, queues)
                                    .run(0.5, periods, new SplittableRandom(2));
                    for (int i = 0; i < halved; i++) {
                        assertEquals(
                                0.5,
                                now[i] / usual[i],
                                0.04,
                                queues + " " + halved + " " + periods);
                    }
                }
            }
        }
    }

    private static double shareWithWeightAlone(int periods) {
        double[] wanted = ones(10);
        wanted[0] = 0.5;
        return new SimulatedBalancers(ones(10), wanted, Steered.WEIGHT, Queues.SHORT)
                .run(0.5, periods, new SplittableRandom(1))[0];
    }

    @Test
    void factorOnTheWeightAloneIsUndone() {
        assertEquals(0.053, shareWithWeightAlone(1), 0.005);
        assertTrue(shareWithWeightAlone(40) > 0.09);
    }

    @Test
    void remainingUpstreamsTakeTheWorkAndTheMeanIsUnchanged() {
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 2_000; i++) {
            int upstreams = 1 + random.nextInt(20);
            double[] wanted =
                    random.doubles(upstreams, 0.1, 10)
                            .map(factor -> factor > 5 ? 1 : factor)
                            .toArray();
            double[] capacity = random.doubles(upstreams, 0.5, 8).toArray();
            double mean = random.nextDouble();
            FactorPlan plan = FactorPlanner.plan(wanted, capacity, mean);
            double sum = 0;
            double largest = 0;
            for (int j = 0; j < upstreams; j++) {
                sum += capacity[j] * plan.factors()[j];
                largest = Math.max(largest, plan.factors()[j]);
                assertTrue(plan.factors()[j] > 0.009, plan.toString());
            }
            assertEquals(Arrays.stream(capacity).sum(), sum, 1e-9);
            assertTrue(largest * mean <= Math.max(FactorPlanner.MAX_UTILISATION, mean) + 1e-9);
            assertTrue(plan.effectFraction() >= 0 && plan.effectFraction() <= 1);
        }
    }

    @Test
    void balancersThatSeeDifferentUpstreamsGetTheSameMean() {
        double[] factors = {0.5, 0.5, 1.5, 1.5};
        double[] capacity = {1, 2, 1, 2};
        double[] loads = {0.2, 0.2, 0.6, 0.6};
        for (int hidden = 0; hidden < 4; hidden++) {
            double[] seen = loads.clone();
            seen[hidden] = Double.NaN;
            assertEquals(0.4, FactorPlanner.meanUtilisation(seen, capacity, factors), 1e-12);
        }
    }

    @Test
    void missingHeadroomReducesTheFactors() {
        double[] wanted = {0.1, 0.1, 1, 1};
        double[] capacity = {1, 1, 1, 1};
        assertEquals(1, FactorPlanner.plan(wanted, capacity, 0.3).effectFraction());
        FactorPlan tight = FactorPlanner.plan(wanted, capacity, 0.6);
        assertEquals(0.8, tight.factors()[2] * 0.6, 1e-9);
        assertTrue(tight.effectFraction() > 0 && tight.effectFraction() < 1);
        assertEquals(0, FactorPlanner.plan(wanted, capacity, 0.85).effectFraction());
        assertEquals(1, FactorPlanner.plan(wanted, capacity, 0.85).factors()[0]);
    }

    @Test
    void factorOfOneClassChangesTheTargetByItsFractionOfTheWork() {
        double over =
                FactorPlanner.workWeightedFactor(new double[] {0.25, 0.75}, new double[] {0.2, 1});
        assertEquals(0.8, over, 1e-9);
        assertEquals(0.2, FactorPlanner.pickMultiplier(0.8, over, 0.2), 1e-9);
        assertEquals(
                5,
                FactorPlanner.pickMultiplier(0.7, over, 1)
                        / FactorPlanner.pickMultiplier(0.7, over, 0.2),
                1e-9);
    }

    @Test
    void logsReductionOnceAndItsEndAfterRecovery() {
        List<String> lines = new ArrayList<>();
        HeadroomMonitor monitor = new HeadroomMonitor(lines::add);
        for (long now = 0; now < 300_000_000; now += 1_000_000) {
            monitor.onPlan(now, now < 100_000_000 && now / 1_000_000 % 2 == 0 ? 0.4 : 1);
        }
        assertEquals(2, lines.size());
        assertTrue(lines.get(0).contains("40%"));
    }
}
