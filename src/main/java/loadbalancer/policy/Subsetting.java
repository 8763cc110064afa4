package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;

/**
 * Each balancer uses a subset of a large fleet. With few requests a second it would know next to
 * nothing of dozens of upstreams; of few it can be told all, and none needs a connection to
 * everyone.
 */
final class Subsetting {
    private static final int BLIND_SHARERS =
            2; // balancers to an upstream where nothing tells of the others

    private static int wanted(PolicyState b) {
        int group = b.settings().balancerCount();
        double sharers =
                b.terms.hears() || group < DerivedSettings.FEW
                        ? DerivedSettings.SHARERS
                        : BLIND_SHARERS;
        return (int)
                Math.max(
                        DerivedSettings.LEAST_SUBSET,
                        Math.ceil(sharers * b.ups.all().size() / group));
    }

    static int size(PolicyState b) {
        return Math.min(wanted(b), b.ups.all().size());
    }

    /** All of it, the ejected too. */
    static List<Endpoint> all(PolicyState b) {
        return b.ups.all().subList(0, size(b));
    }

    /**
     * The subset; the ejected stay in but do not count, or nothing is left to ask when many fail.
     */
    static List<Endpoint> candidates(PolicyState b, long now) {
        List<Endpoint> all = b.ups.all();
        int size = 0;
        for (int left = wanted(b); size < all.size() && left > 0; size++) {
            left -= OutlierDetection.ejected(all.get(size), now) ? 0 : 1;
        }
        return all.subList(0, size);
    }

    /**
     * Blind, a key's home counts too: what it saves by being warm is more than a stranger's line
     * costs.
     */
    static List<Endpoint> candidates(PolicyState b, OpenRequest r, long now) {
        List<Endpoint> subset = candidates(b, now);
        if (b.terms.hears() || r.home == null || !b.ups.has(r.home) || subset.contains(r.home)) {
            return subset;
        }
        List<Endpoint> all = new ArrayList<>(subset);
        all.add(r.home);
        return all;
    }
}
