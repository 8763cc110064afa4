package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.OpenRequest;

/**
 * Deterministic subsetting of a large fleet by rendezvous hashing. With few requests a second a
 * balancer would learn next to nothing of dozens of endpoints; a few it knows well, and not every
 * balancer needs a connection to every endpoint.
 *
 * <p>Decides which endpoints this balancer uses.
 *
 * <p>Inputs: the ready endpoints in this balancer's order of preference, the number of balancers,
 * whether the load of peers is known, and which endpoints are ejected.
 *
 * <p>Never chooses among the endpoints of the subset.
 */
final class Subsetting {
    /** Balancers to an endpoint where the load of the others is unknown. */
    private static final int BALANCERS_PER_ENDPOINT_WITHOUT_PEER_LOAD = 2;

    private final DerivedSettings settings;
    private final EndpointList endpoints;
    private final OutlierDetection outliers;

    Subsetting(DerivedSettings settings, EndpointList endpoints, OutlierDetection outliers) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.outliers = outliers;
    }

    private int targetSize() {
        int balancerCount = settings.balancerCount();
        boolean isQueueKnown =
                settings.knowsPeerLoad() || balancerCount < DerivedSettings.SMALL_TIER_BALANCERS;
        double balancersPerEndpoint =
                isQueueKnown
                        ? DerivedSettings.BALANCERS_PER_ENDPOINT
                        : BALANCERS_PER_ENDPOINT_WITHOUT_PEER_LOAD;
        return (int)
                Math.max(
                        DerivedSettings.MIN_SUBSET_SIZE,
                        Math.ceil(balancersPerEndpoint * endpoints.ready().size() / balancerCount));
    }

    /** The size of the subset while no endpoint is ejected. */
    int size() {
        return Math.min(targetSize(), endpoints.ready().size());
    }

    /** The subset while no endpoint is ejected. */
    List<Endpoint> all() {
        return endpoints.ready().subList(0, size());
    }

    /**
     * The subset now: the ejected stay in but do not count, so that others take their place when
     * many fail.
     */
    List<Endpoint> candidates(long nowMicros) {
        List<Endpoint> ready = endpoints.ready();
        int size = 0;
        for (int missing = targetSize(); size < ready.size() && missing > 0; size++) {
            missing -= outliers.isEjected(ready.get(size), nowMicros) ? 0 : 1;
        }
        return ready.subList(0, size);
    }

    /**
     * The subset for a request. Where the load of peers is unknown it includes the home of the
     * request's key: a cache hit there saves more than an unknown queue may cost.
     */
    List<Endpoint> candidates(OpenRequest request, long nowMicros) {
        List<Endpoint> subset = candidates(nowMicros);
        Endpoint home = request.homeEndpoint();
        if (settings.knowsPeerLoad()
                || home == null
                || !endpoints.contains(home)
                || subset.contains(home)) {
            return subset;
        }
        List<Endpoint> withHome = new ArrayList<>(subset);
        withHome.add(home);
        return withHome;
    }
}
