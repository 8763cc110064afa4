package loadbalancer;

import loadbalancer.policy.EventDispatcher;

/**
 * The decisions. Each period every upstream is reweighted by how far its reported utilisation lies
 * below or above the fleet mean; a request goes to an upstream in proportion to (weight /
 * (in-flight + 1))^bias. What goes beyond that is a factor on the weight or a filter before the
 * pick, and says what it guards against. The modules that decide are in {@link
 * loadbalancer.decide}; docs/decisions-map.md tells which decides what.
 */
public final class ReweightingLoadBalancer extends EventDispatcher {
    /** Creates an instance; bad settings are refused with the field's name. */
    public ReweightingLoadBalancer(Settings settings, long seed, Actions out) {
        super(settings, seed, out);
    }
}
