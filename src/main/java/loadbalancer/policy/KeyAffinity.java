package loadbalancer.policy;

import loadbalancer.policy.data.HashMixer;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.OpenRequest;

/**
 * Key and zone affinity.
 *
 * <p>Assigns each key a home endpoint by rendezvous hashing, and computes the preference factors
 * for the home endpoint and for endpoints in the balancer's own zone. Only ready endpoints that are
 * not ejected can be homes. Balancers with the same list compute the same home; if cross-zone
 * attempts have a price, this holds within a zone, because each balancer then favors its own zone.
 *
 * <p>Affinity is a preference, not a requirement: a request may be sent to any endpoint.
 */
final class KeyAffinity {
    /**
     * Increase of the preference for the balancer's own zone, per score point that a cross-zone
     * attempt costs.
     */
    private static final double PREFERENCE_PER_CROSSING_POINT = 80;

    /** Factor by which an endpoint in the balancer's own zone is more likely to be a key's home. */
    private static final double OWN_ZONE_HOME_FACTOR = 4;

    /** Preference for the home endpoint, where cached data for the key saves work. */
    private static final double HOME_PREFERENCE = 2.5;

    private final DerivedSettings settings;
    private final EndpointList endpoints;
    private final OutlierDetection outliers;

    KeyAffinity(DerivedSettings settings, EndpointList endpoints, OutlierDetection outliers) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.outliers = outliers;
    }

    /**
     * Returns the home endpoint of the request's key, or null if the request has no key or the
     * service has no key affinity.
     */
    Endpoint findHome(OpenRequest request, long nowMicros) {
        String key = request.request().affinityKey();
        if (!settings.current().hasKeyAffinity() || key == null) {
            return null;
        }
        Endpoint home = null;
        double maxScore = Double.NEGATIVE_INFINITY;
        for (Endpoint endpoint : endpoints.ready()) {
            double score = rendezvousScore(key, endpoint);
            if (score > maxScore && !outliers.isEjected(endpoint, nowMicros)) {
                maxScore = score;
                home = endpoint;
            }
        }
        return home;
    }

    private double rendezvousScore(String key, Endpoint endpoint) {
        long salt = HashMixer.mix(endpoint.id().hashCode());
        double uniform = HashMixer.toUnitInterval(HashMixer.pairScore(key.hashCode(), salt));
        return -settings.capacityWeight(endpoint)
                / Math.log(uniform)
                * (zonePreference(endpoint) > 1 ? OWN_ZONE_HOME_FACTOR : 1);
    }

    /** Returns the preference for an endpoint because of the request's key; 1 is neutral. */
    double homePreference(Endpoint endpoint, OpenRequest request) {
        return endpoint == request.homeEndpoint() ? HOME_PREFERENCE : 1;
    }

    /** Returns the preference for an endpoint because of its zone; 1 is neutral. */
    double zonePreference(Endpoint endpoint) {
        return endpoint.entry().zoneIndex() == settings.current().zoneIndex()
                ? 1 + PREFERENCE_PER_CROSSING_POINT * settings.current().prices().crossZoneAttempt()
                : 1;
    }
}
