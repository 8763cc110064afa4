package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.OpenRequest;

/**
 * Deterministic subsetting of a large fleet by rendezvous hashing. With few requests per second, a
 * balancer would learn little about each of dozens of endpoints; with a subset it knows a few of
 * them well and needs fewer connections.
 *
 * <p>Decides which endpoints this balancer uses. Inputs are the ready endpoints in this balancer's
 * order of preference, the number of balancers, whether the load of peers is known, and which
 * endpoints are ejected.
 *
 * <p>Does not choose among the endpoints of the subset.
 */
final class Subsetting {
    /** Target number of balancers per endpoint if the load of peers is unknown. */
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

    /** Returns the size of the subset without replacements for ejected endpoints. */
    int size() {
        return Math.min(targetSize(), endpoints.ready().size());
    }

    /** Returns the subset without replacements for ejected endpoints. */
    List<Endpoint> baseSubset() {
        return endpoints.ready().subList(0, size());
    }

    /**
     * Returns the current subset. Ejected endpoints stay in it but do not count towards its size,
     * so that other endpoints replace them when many fail.
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
     * Returns the subset for a request. If the load of peers is unknown, it includes the home
     * endpoint of the request's key: a cache hit saves more than an unknown queue may cost.
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
