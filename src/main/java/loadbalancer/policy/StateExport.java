package loadbalancer.policy;

import loadbalancer.EndpointSnapshot;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.StateRestoration;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.PolicyState;

/** What outlives an instance: how much of what it had learnt a later one believes. */
final class StateExport {
    static void recall(
            PolicyState b, long now, long age, long listAge, LoadBalancerSnapshot memory) {
        if (b.times.unknown() && memory.responseTimeMicros() > 0) {
            double left =
                    StateRestoration.remainingFraction(age, StateRestoration.RATE_HALF_LIFE_MICROS);
            b.times.recall(memory);
            b.traffic.recall(memory, left);
            SlowStart.recall(b, memory.warmWorkRate() * left);
        }
        b.traffic.recall(memory.classes());
        double trust =
                StateRestoration.remainingFraction(
                        listAge, StateRestoration.LIST_TRUST_HALF_LIFE_MICROS);
        b.ups.all().forEach(up -> EndpointListUpdates.trust(up, trust));
        memory.endpoints().forEach(k -> recall(b, now, age, listAge, k));
    }

    private static void recall(
            PolicyState b, long now, long age, long listAge, EndpointSnapshot saved) {
        Endpoint up = b.ups.get(saved.id());
        if (up == null || up.entry().launchedAtMicros() != saved.launchedAtMicros()) {
            return; // gone, or a process of which nothing was known
        }
        if (b.beside) {
            b.peers.saw(up, saved.inFlightRequests(), now - age);
        }
        if (up.answered()) {
            return;
        }
        EndpointSnapshot k =
                StateRestoration.discounted(
                        saved, age, ConcurrencyLimits.first(b), b.times.typicalPace());
        up.recall(k, now - age, now);
        if (k.sinceLastResponseMicros() >= 0) {
            EndpointListUpdates.trust(
                    up,
                    StateRestoration.remainingFraction(
                            Math.min(listAge, k.sinceLastResponseMicros()),
                            StateRestoration.LIST_TRUST_HALF_LIFE_MICROS));
        }
    }
}
