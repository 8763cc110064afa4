package loadbalancer.proxy;

import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.ReweightingLoadBalancer;

/** Makes policies. */
public interface LoadBalancerFactory {
    /** Makes the policy that serves. */
    LoadBalancerFactory BALANCE = ReweightingLoadBalancer::new;

    /**
     * A policy with these settings that draws random numbers from the seed and acts through {@code
     * out}.
     */
    LoadBalancer create(LoadBalancerSettings settings, long seed, LoadBalancerActions out);
}
