package loadbalancer.policy;

import loadbalancer.policy.data.HashMixer;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;

/**
 * Where a key is at home: the same upstream at every balancer, by rendezvous hashing, if it is
 * well.
 */
final class KeyAffinity {
    private static final double CROSSING =
            80; // own zone's preference for each point that crossing costs
    private static final double OWN_HOME = 4; // how much likelier a key's home is in the own zone
    private static final double HOME =
            2.5; // preference for a key's home, where warm keys save work

    /** Null without a key, or where warm keys save nothing. */
    static Endpoint of(PolicyState b, OpenRequest r, long now) {
        String key = r.request.affinityKey();
        if (!b.settings().hasKeyAffinity() || key == null) {
            return null;
        }
        Endpoint best = null;
        double most = Double.NEGATIVE_INFINITY;
        for (Endpoint up : b.ups.all()) {
            double u =
                    HashMixer.unit(HashMixer.pair(key.hashCode(), HashMixer.mix(up.id.hashCode())));
            double score = -b.terms.rating(up) / Math.log(u) * (ownZone(b, up) > 1 ? OWN_HOME : 1);
            if (score > most && !OutlierDetection.ejected(up, now)) {
                most = score;
                best = up;
            }
        }
        return best;
    }

    static double preference(Endpoint up, OpenRequest r) {
        return up == r.home ? HOME : 1;
    }

    /** The preference for the own zone. */
    static double ownZone(PolicyState b, Endpoint up) {
        return up.entry().zoneIndex() == b.settings().zoneIndex()
                ? 1 + CROSSING * b.settings().prices().crossZoneAttempt()
                : 1;
    }
}
