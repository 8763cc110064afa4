package loadbalancer;

import loadbalancer.policy.EventDispatcher;

/**
 * The load-balancing policy. Each period it adjusts the weight of every endpoint by how far its
 * reported utilization lies below or above the mean of all; it then picks an endpoint for a request
 * at random in proportion to a power of (weight / (in flight + 1)). Each further rule is a factor
 * of that weight or a filter before the pick. The rules are in {@code loadbalancer.policy};
 * docs/decisions-map.md lists them.
 *
 * <p>Thread and clock are those of {@link LoadBalancer}.
 */
public final class ReweightingLoadBalancer extends EventDispatcher {
    /**
     * Creates an instance.
     *
     * @param seed of its random numbers: the same events give the same decisions
     * @throws InvalidSettingException if a setting is out of its range
     */
    public ReweightingLoadBalancer(
            LoadBalancerSettings settings, long seed, LoadBalancerActions actions) {
        super(settings, seed, actions);
    }
}
