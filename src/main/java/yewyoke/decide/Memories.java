package yewyoke.decide;

import yewyoke.Balancer.Known;
import yewyoke.Balancer.Memory;
import yewyoke.Recall;
import yewyoke.decide.state.Host;
import yewyoke.decide.state.PolicyState;

/** What outlives an instance: how much of what it had learnt a later one believes. */
final class Memories {
    static void recall(PolicyState b, long now, long age, long listAge, Memory memory) {
        if (b.times.unknown() && memory.took() > 0) {
            double left = Recall.left(age, Recall.RATES);
            b.times.recall(memory);
            b.traffic.recall(memory, left);
            ColdBudgets.recall(b, memory.warmRate() * left);
        }
        b.traffic.recall(memory.classes());
        double trust = Recall.left(listAge, Recall.TRUST);
        b.ups.all().forEach(up -> Listing.trust(up, trust));
        memory.upstreams().forEach(k -> recall(b, now, age, listAge, k));
    }

    private static void recall(PolicyState b, long now, long age, long listAge, Known saved) {
        Host up = b.ups.get(saved.id());
        if (up == null || up.entry().launchedAt() != saved.launchedAt()) {
            return; // gone, or a process of which nothing was known
        }
        if (b.beside) {
            b.peers.saw(up, saved.inFlight(), now - age);
        }
        if (up.answered()) {
            return;
        }
        Known k = Recall.believed(saved, age, InFlightLimits.first(b), b.times.typicalPace());
        up.recall(k, now - age, now);
        if (k.quiet() >= 0) {
            Listing.trust(up, Recall.left(Math.min(listAge, k.quiet()), Recall.TRUST));
        }
    }
}
