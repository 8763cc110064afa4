package loadbalancer.lab.rollout;

import loadbalancer.rollout.analysis.LatencyBuckets;
import loadbalancer.rollout.analysis.WindowCounters;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * One balancer's figures, window by window. Streams of its own, so that an effect redraws nobody
 * else's.
 */
final class Site {
    /**
     * Requests a second of the typical balancer, and how uneven they are: one in six has half or
     * double.
     */
    private static final double RATE = 60;

    private static final double UNEVEN = 0.5;
    private static final double[] CLASSES = {0.25, 0.75};
    private static final double LATE = 0.008;
    private static final double REFUSED = 0.004;
    private static final double FAILED = 0.006;

    /** Microseconds, and the spread of their logarithm. */
    private static final double TIME = 45_000;

    private static final double TIME_SPREAD = 0.7;
    private static final long WINDOW_S = 5;

    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian normal;
    private final Wave own;
    private final Wave memory;
    private final double rate;
    private final double habit;
    private final double timeHabit;
    private final double hit;

    /** Requests of the last window, and those lost to the new program. */
    double requests;

    double lost;

    Site(UniformRandomProvider random) {
        this.random = random;
        this.normal = ZigguratSampler.NormalizedGaussian.of(random);
        this.own = new Wave(random, 0.25, 6);
        this.memory = new Wave(random, 0.05, 60);
        this.rate = RATE * Math.exp(UNEVEN * normal.sample());
        this.habit = 0.3 * normal.sample();
        this.timeHabit = 0.15 * normal.sample();
        this.hit = Math.exp(0.3 * normal.sample());
    }

    /** The tallies of a window: one of each class, then the process's. */
    long[][] window(boolean isNew, Effect effect, double trouble, double incident, double jam) {
        long program = isNew ? WindowCounters.CANARY : WindowCounters.BASELINE;
        double mood = Math.exp(habit + trouble + own.next());
        long[][] tallies = new long[CLASSES.length + 1][];
        requests = 0;
        lost = 0;
        for (int c = 0; c < CLASSES.length; c++) {
            double mean = rate * CLASSES[c] * WINDOW_S;
            double worse = 0.15 * incident * hit + jam + (isNew ? effect.unserved() : 0);
            tallies[c] =
                    ofClass(program, mean, mood, worse, incident, isNew ? effect : Effect.SAME);
            double n = 0;
            for (int i = WindowCounters.SERVED_ON_TIME; i <= WindowCounters.FAILED; i++) {
                n += tallies[c][i];
            }
            requests += n;
            lost += n * (jam + (isNew ? effect.unserved() : 0));
        }
        double cpu = requests * 450 * Math.exp(0.05 * normal.sample() + habit / 4);
        tallies[CLASSES.length] =
                WindowCounters.ofProcess(
                        program,
                        (long) requests,
                        (long) cpu,
                        (long) (180_000 * Math.exp(memory.next() + habit / 4)));
        return tallies;
    }

    private long[] ofClass(
            long program, double mean, double mood, double worse, double incident, Effect effect) {
        long[] values = new long[WindowCounters.CLASS_VALUES];
        values[0] = program;
        double failed = Math.min(0.9, FAILED * mood + worse);
        values[WindowCounters.SERVED_LATE] =
                poisson(mean * Math.min(0.5, LATE * mood + 0.05 * incident));
        values[WindowCounters.REJECTED] = poisson(mean * Math.min(0.5, REFUSED * mood));
        values[WindowCounters.FAILED] = poisson(mean * failed);
        values[WindowCounters.SERVED_ON_TIME] =
                poisson(mean * (1 - Math.min(1, failed + (LATE + REFUSED) * mood)));
        double served = values[WindowCounters.SERVED_ON_TIME] + values[WindowCounters.SERVED_LATE];
        values[WindowCounters.ATTEMPTS] = poisson(mean * 1.05 * effect.attempts() + mean * failed);
        double middle =
                Math.log(TIME * effect.time()) + timeHabit + 0.1 * Math.log(mood) + 0.3 * incident;
        double below = 0;
        for (int i = 0; i < LatencyBuckets.COUNT; i++) {
            double edge =
                    i == LatencyBuckets.COUNT - 1
                            ? 1
                            : below(
                                    (Math.log(LatencyBuckets.upperEdgeMicros(i)) - middle)
                                            / TIME_SPREAD);
            values[WindowCounters.bucketIndex(i)] = poisson(served * Math.max(0, edge - below));
            below = edge;
        }
        return values;
    }

    /** The logistic function with the normal's spread: close to it, and quick. */
    private static double below(double z) {
        return 1 / (1 + Math.exp(-1.702 * z));
    }

    /** Knuth's product for small means; above them the normal is within a hundredth. */
    private long poisson(double mean) {
        if (mean > 30) {
            return Math.max(0, Math.round(mean + Math.sqrt(mean) * normal.sample()));
        }
        double limit = Math.exp(-mean);
        long n = -1;
        for (double product = 1; product > limit; n++) {
            product *= random.nextDouble();
        }
        return n;
    }
}
