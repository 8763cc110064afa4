package loadbalancer.policy;

import loadbalancer.EndpointDescriptor;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointAges;
import loadbalancer.policy.state.ServiceTimes;

/**
 * Creates the endpoint for a process that is new in the list.
 *
 * <p>Sets the initial state of each rule. A restarted process takes over only the utilization
 * weight of its predecessor, because it runs on the same machine.
 *
 * <p>Does not change existing endpoints.
 */
final class EndpointFactory {
    private final EndpointAges ages = new EndpointAges();
    private final DerivedSettings settings;
    private final UtilizationWeights weights;
    private final OutlierDetection outliers;
    private final ServiceTimes times;
    private final ConcurrencyLimits limits;
    private final SlowStart slowStart;

    EndpointFactory(
            DerivedSettings settings,
            UtilizationWeights weights,
            OutlierDetection outliers,
            ServiceTimes times,
            ConcurrencyLimits limits,
            SlowStart slowStart) {
        this.settings = settings;
        this.weights = weights;
        this.outliers = outliers;
        this.times = times;
        this.limits = limits;
        this.slowStart = slowStart;
    }

    /**
     * Creates the endpoint for a list entry.
     *
     * @param predecessor the process that was listed under the same id, or null
     * @param isFirstList whether discovery has delivered no list before
     */
    Endpoint create(
            EndpointDescriptor entry, Endpoint predecessor, boolean isFirstList, long nowMicros) {
        long warmUpMicros = settings.current().ruleLimits().slowStartMicros();
        long startedAtMicros = ages.startedAt(entry, nowMicros, isFirstList, warmUpMicros);
        Endpoint endpoint =
                new Endpoint(entry.id(), settings.current().balancerIndex(), startedAtMicros);
        if (predecessor != null) {
            weights.inherit(endpoint, predecessor);
        }
        outliers.initialize(endpoint);
        times.initialize(endpoint);
        limits.initialize(endpoint);
        slowStart.initialize(endpoint, nowMicros);
        return endpoint;
    }
}
