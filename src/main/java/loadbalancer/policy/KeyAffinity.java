package loadbalancer.policy;

import loadbalancer.policy.data.HashMixer;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.OpenRequest;

/**
 * Affinity of keys and zones.
 *
 * <p>Decides the home endpoint of a key, the same at every balancer by rendezvous hashing, and the
 * preference for homes and for endpoints in the own zone.
 *
 * <p>Inputs: the request's key, the ready endpoints that are not ejected, their capacity weights,
 * the price of crossing a zone (points of the result).
 *
 * <p>Never requires the home: a request may go to any endpoint.
 */
final class KeyAffinity {
    /** Added preference for the own zone, per point that crossing a zone costs. */
    private static final double PREFERENCE_PER_CROSSING_POINT = 80;

    /** Factor on the chance that a key's home is in the own zone. */
    private static final double OWN_ZONE_HOME_FACTOR = 4;

    /** Preference for the home, where cached keys save work. */
    private static final double HOME_PREFERENCE = 2.5;

    private final DerivedSettings settings;
    private final EndpointList endpoints;
    private final OutlierDetection outliers;

    KeyAffinity(DerivedSettings settings, EndpointList endpoints, OutlierDetection outliers) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.outliers = outliers;
    }

    /** The home of the request's key; null without a key, or where cached keys save nothing. */
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

    /** The preference for an endpoint by the request's key; 1 is neutral. */
    double homePreference(Endpoint endpoint, OpenRequest request) {
        return endpoint == request.homeEndpoint() ? HOME_PREFERENCE : 1;
    }

    /** The preference for an endpoint by its zone; 1 is neutral. */
    double zonePreference(Endpoint endpoint) {
        return endpoint.entry().zoneIndex() == settings.current().zoneIndex()
                ? 1 + PREFERENCE_PER_CROSSING_POINT * settings.current().prices().crossZoneAttempt()
                : 1;
    }
}
