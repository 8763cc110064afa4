package loadbalancer;

import loadbalancer.policy.EventDispatcher;

/**
 * The implementation of the load-balancing policy. In each period, it adjusts the weight of every
 * endpoint by how far the endpoint's reported utilization lies below or above the mean. It picks an
 * endpoint for a request at random with a probability in proportion to a power of (weight / (in
 * flight + 1)). Each further rule is a factor of that weight or a filter before the pick. The rules
 * are in {@code loadbalancer.policy}; docs/decisions-map.md lists them.
 *
 * <p>The thread and clock requirements of {@link LoadBalancer} apply.
 */
public final class ReweightingLoadBalancer extends EventDispatcher {
    /**
     * Creates an instance that is not started yet.
     *
     * @param seed seed of its random numbers; with the same seed, the same events lead to the same
     *     decisions
     * @throws InvalidSettingException if a setting is out of its range
     */
    public ReweightingLoadBalancer(
            LoadBalancerSettings settings, long seed, LoadBalancerActions actions) {
        super(settings, seed, actions);
    }
}
