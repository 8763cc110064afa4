package loadbalancer.policy;

import java.util.List;
import java.util.random.RandomGenerator;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReportSource;
import loadbalancer.policy.data.Jitter;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.Traffic;

/**
 * Probes endpoints at a low, steady rate, for load reports that arrive in no other way.
 *
 * <p>Decides when the next endpoint is probed, and chooses the one whose last probe is the oldest.
 * Inputs are the price of a probe and the request rate.
 *
 * <p>Inactive if {@link LoadProbing} probes, or if responses carry load reports.
 */
final class BackgroundProbing {
    /** Maximum cost of background probing, in score points. */
    private static final double BUDGET_POINTS = 0.003;

    /** Minimum mean interval between two probes of one endpoint. */
    private static final long MIN_INTERVAL_MICROS = 300_000;

    private static final double MICROS_PER_SECOND = 1e6;

    private final DerivedSettings settings;
    private final EndpointList endpoints;
    private final Traffic traffic;
    private final LoadBalancerActions actions;
    private final RandomGenerator random;
    private long nextProbeAtMicros;

    BackgroundProbing(
            DerivedSettings settings,
            EndpointList endpoints,
            Traffic traffic,
            LoadBalancerActions actions,
            RandomGenerator random) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.traffic = traffic;
        this.actions = actions;
        this.random = random;
    }

    /** Sets the time of the first probe. */
    void start(long nowMicros) {
        nextProbeAtMicros = nowMicros + Jitter.around(MIN_INTERVAL_MICROS, random);
    }

    /** Probes one endpoint if the interval since the last probe has passed. */
    void probeIfDue(long nowMicros) {
        List<Endpoint> ready = endpoints.ready();
        if (!isNeeded() || nowMicros < nextProbeAtMicros || ready.isEmpty()) {
            return;
        }
        long meanIntervalMicros = (long) (MICROS_PER_SECOND / probesPerSecond());
        nextProbeAtMicros = nowMicros + Jitter.around(meanIntervalMicros, random);
        Endpoint endpoint = leastRecentlyProbed(ready);
        endpoint.backgroundProbing().recordProbe(nowMicros);
        actions.probeEndpoint(endpoint.id());
    }

    private boolean isNeeded() {
        LoadBalancerSettings current = settings.current();
        return !settings.probesBeforePick()
                && current.loadReportSource() == LoadReportSource.PROBES
                && current.limits().isProbingAllowed();
    }

    private double probesPerSecond() {
        double pricePoints = settings.current().prices().probe();
        double probesPerRequest = pricePoints > 0 ? BUDGET_POINTS / pricePoints : 1;
        return Math.min(
                probesPerRequest * Math.max(traffic.requestsPerSecond(), 1),
                endpoints.ready().size() * MICROS_PER_SECOND / MIN_INTERVAL_MICROS);
    }

    private static Endpoint leastRecentlyProbed(List<Endpoint> ready) {
        Endpoint oldest = ready.get(0);
        for (Endpoint endpoint : ready) {
            if (endpoint.backgroundProbing().lastProbedAtMicros()
                    < oldest.backgroundProbing().lastProbedAtMicros()) {
                oldest = endpoint;
            }
        }
        return oldest;
    }
}
