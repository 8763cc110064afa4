package yewyoke.decide;

import yewyoke.decide.data.Mix;
import yewyoke.decide.state.Host;
import yewyoke.decide.state.OpenRequest;
import yewyoke.decide.state.PolicyState;

/** Where a key is at home: the same upstream at every balancer, by rendezvous hashing, if it is well. */
final class KeyHomes {
    private static final double CROSSING = 80; // own zone's preference for each point that crossing costs
    private static final double OWN_HOME = 4; // how much likelier a key's home is in the own zone
    private static final double HOME = 2.5; // preference for a key's home, where warm keys save work

    /** Null without a key, or where warm keys save nothing. */
    static Host of(PolicyState b, OpenRequest r, long now) {
        String key = r.request.key();
        if (!b.settings().warmKeys() || key == null) {
            return null;
        }
        Host best = null;
        double most = Double.NEGATIVE_INFINITY;
        for (Host up : b.ups.all()) {
            double u = Mix.unit(Mix.pair(key.hashCode(), Mix.mix(up.id.hashCode())));
            double score = -b.terms.rating(up) / Math.log(u) * (ownZone(b, up) > 1 ? OWN_HOME : 1);
            if (score > most && !Health.ejected(up, now)) {
                most = score;
                best = up;
            }
        }
        return best;
    }

    static double preference(Host up, OpenRequest r) { return up == r.home ? HOME : 1; }

    /** The preference for the own zone. */
    static double ownZone(PolicyState b, Host up) {
        return up.entry().zone() == b.settings().zone()
                ? 1 + CROSSING * b.settings().prices().crossZone() : 1;
    }
}
