package loadbalancer.policy;

import java.util.random.RandomGenerator;
import loadbalancer.policy.data.Jitter;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.ServiceTimes;
import loadbalancer.policy.state.Traffic;

/**
 * Updates the measurements and weights that change once per period.
 *
 * <p>The length of each period is random, so that balancers do not change their weights at the same
 * time.
 *
 * <p>Sends and sheds no requests.
 */
final class PeriodicMeasurement {
    private static final long MEAN_PERIOD_MICROS = 250_000;

    private final EndpointList endpoints;
    private final SlowStart slowStart;
    private final Traffic traffic;
    private final ServiceTimes times;
    private final UtilizationWeights weights;
    private final RandomGenerator random;
    private long periodEndsAtMicros;

    PeriodicMeasurement(
            EndpointList endpoints,
            SlowStart slowStart,
            Traffic traffic,
            ServiceTimes times,
            UtilizationWeights weights,
            RandomGenerator random) {
        this.endpoints = endpoints;
        this.slowStart = slowStart;
        this.traffic = traffic;
        this.times = times;
        this.weights = weights;
        this.random = random;
    }

    /** Sets the end of the first period. */
    void start(long nowMicros) {
        periodEndsAtMicros = nowMicros + Jitter.around(MEAN_PERIOD_MICROS, random);
    }

    /** Ends the period and starts the next one if it has lasted long enough. */
    void measureIfDue(long nowMicros) {
        if (nowMicros < periodEndsAtMicros) {
            return;
        }
        long periodMicros = Jitter.around(MEAN_PERIOD_MICROS, random);
        slowStart.endPeriod(nowMicros, periodMicros);
        traffic.endPeriod(periodMicros);
        times.updateMeanMinServiceTime(endpoints.ready());
        weights.updateWeights(endpoints.ready(), nowMicros);
        periodEndsAtMicros = nowMicros + periodMicros;
    }
}
