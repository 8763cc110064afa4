package loadbalancer.lab.rollout;

import loadbalancer.rollout.analysis.LatencyBuckets;
import loadbalancer.rollout.analysis.WindowCounters;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Counters of one balancer, window by window, from a random stream of its own, so that an effect
 * changes no other balancer's draws. Not thread-safe.
 */
final class SimulatedBalancer {
    private static final double REQUESTS_PER_SECOND = 60;

    /** Standard deviation of the logarithm: one in six has half or double of the rate. */
    private static final double RATE_DEVIATION = 0.5;

    /** Fraction of the requests in each class. */
    private static final double[] CLASS_FRACTIONS = {0.25, 0.75};

    private static final double LATE_RATIO = 0.008;
    private static final double REJECTED_RATIO = 0.004;
    private static final double FAILED_RATIO = 0.006;
    private static final double MEDIAN_RESPONSE_TIME_MICROS = 45_000;

    /** Standard deviation of the logarithm. */
    private static final double RESPONSE_TIME_DEVIATION = 0.7;

    private static final long WINDOW_SECONDS = 5;
    private static final double CPU_MICROS_PER_REQUEST = 450;
    private static final double MEMORY_KILOBYTES = 180_000;

    /** The logistic function with this slope is close to the normal distribution function. */
    private static final double LOGISTIC_SLOPE = 1.702;

    /** Above it a Poisson distribution is drawn as a normal one. */
    private static final double MAX_EXACT_POISSON_MEAN = 30;

    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian normal;
    private final AutoregressiveProcess errorNoise;
    private final AutoregressiveProcess memoryNoise;
    private final double requestsPerSecond;
    private final double logErrorFactor;
    private final double logResponseTimeFactor;
    private final double incidentFactor;
    private double requests;
    private double requestsLost;

    SimulatedBalancer(UniformRandomProvider random) {
        this.random = random;
        this.normal = ZigguratSampler.NormalizedGaussian.of(random);
        this.errorNoise = new AutoregressiveProcess(random, 0.25, 6);
        this.memoryNoise = new AutoregressiveProcess(random, 0.05, 60);
        this.requestsPerSecond = REQUESTS_PER_SECOND * Math.exp(RATE_DEVIATION * normal.sample());
        this.logErrorFactor = 0.3 * normal.sample();
        this.logResponseTimeFactor = 0.15 * normal.sample();
        this.incidentFactor = Math.exp(0.3 * normal.sample());
    }

    /** Requests of the last window. */
    double requests() {
        return requests;
    }

    /** Requests of the last window that failed by the new program. */
    double requestsLost() {
        return requestsLost;
    }

    /**
     * Counters of the next window: those of each class, then those of the process.
     *
     * @param zoneNoise logarithm of the zone's factor on errors
     * @param incident severity of the zone's incident, 0 for none
     * @param sharedFailedRatio additional ratio of requests that fail in both cohorts
     */
    long[][] nextWindow(
            boolean isCanary,
            Effect effect,
            double zoneNoise,
            double incident,
            double sharedFailedRatio) {
        long cohort = isCanary ? WindowCounters.CANARY : WindowCounters.BASELINE;
        double errorFactor = Math.exp(logErrorFactor + zoneNoise + errorNoise.next());
        double lostRatio = sharedFailedRatio + (isCanary ? effect.failedRatio() : 0);
        long[][] counters = new long[CLASS_FRACTIONS.length + 1][];
        requests = 0;
        requestsLost = 0;
        for (int i = 0; i < CLASS_FRACTIONS.length; i++) {
            double mean = requestsPerSecond * CLASS_FRACTIONS[i] * WINDOW_SECONDS;
            double additionalFailed =
                    0.15 * incident * incidentFactor
                            + sharedFailedRatio
                            + (isCanary ? effect.failedRatio() : 0);
            Effect ownEffect = isCanary ? effect : Effect.NONE;
            counters[i] = classCounters(mean, errorFactor, additionalFailed, incident, ownEffect);
            counters[i][WindowCounters.COHORT] = cohort;
            double classRequests = completedRequests(counters[i]);
            requests += classRequests;
            requestsLost += classRequests * lostRatio;
        }
        counters[CLASS_FRACTIONS.length] = processCounters(cohort);
        return counters;
    }

    private static double completedRequests(long[] counters) {
        double requests = 0;
        for (int i = WindowCounters.SERVED_ON_TIME; i <= WindowCounters.FAILED; i++) {
            requests += counters[i];
        }
        return requests;
    }

    private long[] processCounters(long cohort) {
        double cpuMicros =
                requests
                        * CPU_MICROS_PER_REQUEST
                        * Math.exp(0.05 * normal.sample() + logErrorFactor / 4);
        double memoryKilobytes =
                MEMORY_KILOBYTES * Math.exp(memoryNoise.next() + logErrorFactor / 4);
        return WindowCounters.ofProcess(
                cohort, (long) requests, (long) cpuMicros, (long) memoryKilobytes);
    }

    private long[] classCounters(
            double mean,
            double errorFactor,
            double additionalFailed,
            double incident,
            Effect effect) {
        long[] values = new long[WindowCounters.CLASS_VALUES];
        double failedRatio = Math.min(0.9, FAILED_RATIO * errorFactor + additionalFailed);
        double lateRatio = Math.min(0.5, LATE_RATIO * errorFactor + 0.05 * incident);
        double servedRatio =
                1 - Math.min(1, failedRatio + (LATE_RATIO + REJECTED_RATIO) * errorFactor);
        values[WindowCounters.SERVED_LATE] = poisson(mean * lateRatio);
        values[WindowCounters.REJECTED] =
                poisson(mean * Math.min(0.5, REJECTED_RATIO * errorFactor));
        values[WindowCounters.FAILED] = poisson(mean * failedRatio);
        values[WindowCounters.SERVED_ON_TIME] = poisson(mean * servedRatio);
        values[WindowCounters.ATTEMPTS] =
                poisson(mean * 1.05 * effect.attemptsFactor() + mean * failedRatio);
        double logMedianMicros =
                Math.log(MEDIAN_RESPONSE_TIME_MICROS * effect.responseTimeFactor())
                        + logResponseTimeFactor
                        + 0.1 * Math.log(errorFactor)
                        + 0.3 * incident;
        addResponseTimes(values, logMedianMicros);
        return values;
    }

    private void addResponseTimes(long[] values, double logMedianMicros) {
        double served = values[WindowCounters.SERVED_ON_TIME] + values[WindowCounters.SERVED_LATE];
        double previous = 0;
        for (int i = 0; i < LatencyBuckets.COUNT; i++) {
            double cumulative =
                    i == LatencyBuckets.COUNT - 1
                            ? 1
                            : logistic(
                                    (Math.log(LatencyBuckets.upperEdgeMicros(i)) - logMedianMicros)
                                            / RESPONSE_TIME_DEVIATION);
            values[WindowCounters.bucketIndex(i)] =
                    poisson(served * Math.max(0, cumulative - previous));
            previous = cumulative;
        }
    }

    private static double logistic(double deviations) {
        return 1 / (1 + Math.exp(-LOGISTIC_SLOPE * deviations));
    }

    /** Knuth's product for small means; above them the normal distribution is close. */
    private long poisson(double mean) {
        if (mean > MAX_EXACT_POISSON_MEAN) {
            return Math.max(0, Math.round(mean + Math.sqrt(mean) * normal.sample()));
        }
        double limit = Math.exp(-mean);
        long count = -1;
        for (double product = 1; product > limit; count++) {
            product *= random.nextDouble();
        }
        return count;
    }
}
