package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.EndpointSnapshot;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.StateRestoration;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.ServiceTimes;
import loadbalancer.policy.state.Traffic;

/**
 * Exports what an instance has learned and restores it, either after a restart or between two
 * processes of one balancer.
 *
 * <p>Restores only values that this instance has not measured itself. {@link EndpointRestoration}
 * restores the endpoints.
 *
 * <p>Open requests are neither exported nor restored.
 */
final class StateExport {
    private final EndpointList endpoints;
    private final ServiceTimes times;
    private final Traffic traffic;
    private final SlowStart slowStart;
    private final EndpointRestoration endpointRestoration;

    StateExport(
            EndpointList endpoints,
            ServiceTimes times,
            Traffic traffic,
            SlowStart slowStart,
            EndpointRestoration endpointRestoration) {
        this.endpoints = endpoints;
        this.times = times;
        this.traffic = traffic;
        this.slowStart = slowStart;
        this.endpointRestoration = endpointRestoration;
    }

    /**
     * Exports the learned state, with up to {@code maxEndpoints} ready endpoints starting at index
     * {@code fromIndex}.
     */
    LoadBalancerSnapshot export(int fromIndex, int maxEndpoints, long nowMicros) {
        List<Endpoint> ready = endpoints.ready();
        int from = Math.min(fromIndex, ready.size());
        int to = Math.min(fromIndex + maxEndpoints, ready.size());
        List<EndpointSnapshot> exported = new ArrayList<>();
        for (Endpoint endpoint : ready.subList(from, to)) {
            exported.add(endpoint.export(nowMicros));
        }
        return new LoadBalancerSnapshot(
                times.typicalResponseMicros(),
                times.typicalMicrosPerQueuedRequest(),
                times.meanMinServiceTime(),
                slowStart.warmWorkPerMicro(),
                traffic.meanCostMicros(),
                traffic.requestsPerSecond(),
                traffic.exportClasses(),
                exported);
    }

    /**
     * Restores the state of an earlier instance. {@code ageMicros} is the age of the state, {@code
     * listAgeMicros} the age of its endpoint list.
     */
    void restore(LoadBalancerSnapshot saved, long ageMicros, long listAgeMicros, long nowMicros) {
        if (times.isEmpty() && saved.responseTimeMicros() > 0) {
            double rateFactor =
                    StateRestoration.remainingFraction(
                            ageMicros, StateRestoration.RATE_HALF_LIFE_MICROS);
            times.restore(saved);
            traffic.restoreRates(saved, rateFactor);
            slowStart.restoreWarmRate(saved.warmWorkRate() * rateFactor);
        }
        traffic.restoreClasses(saved.classes());
        endpointRestoration.restore(saved, ageMicros, listAgeMicros, nowMicros);
    }
}
