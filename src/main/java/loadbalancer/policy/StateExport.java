package loadbalancer.policy;

import loadbalancer.LoadBalancer.Known;
import loadbalancer.LoadBalancer.Memory;
import loadbalancer.StateRestoration;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.PolicyState;

/** What outlives an instance: how much of what it had learnt a later one believes. */
final class StateExport {
    static void recall(PolicyState b, long now, long age, long listAge, Memory memory) {
        if (b.times.unknown() && memory.took() > 0) {
            double left = StateRestoration.left(age, StateRestoration.RATES);
            b.times.recall(memory);
            b.traffic.recall(memory, left);
            SlowStart.recall(b, memory.warmRate() * left);
        }
        b.traffic.recall(memory.classes());
        double trust = StateRestoration.left(listAge, StateRestoration.TRUST);
        b.ups.all().forEach(up -> EndpointListUpdates.trust(up, trust));
        memory.upstreams().forEach(k -> recall(b, now, age, listAge, k));
    }

    private static void recall(PolicyState b, long now, long age, long listAge, Known saved) {
        Endpoint up = b.ups.get(saved.id());
        if (up == null || up.entry().launchedAt() != saved.launchedAt()) {
            return; // gone, or a process of which nothing was known
        }
        if (b.beside) {
            b.peers.saw(up, saved.inFlight(), now - age);
        }
        if (up.answered()) {
            return;
        }
        Known k =
                StateRestoration.believed(
                        saved, age, ConcurrencyLimits.first(b), b.times.typicalPace());
        up.recall(k, now - age, now);
        if (k.quiet() >= 0) {
            EndpointListUpdates.trust(
                    up,
                    StateRestoration.left(Math.min(listAge, k.quiet()), StateRestoration.TRUST));
        }
    }
}
