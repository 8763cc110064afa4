package loadbalancer.proxy;

import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.ReweightingLoadBalancer;

/** Where decision modules come from. */
public interface LoadBalancerFactory {
    /** Those that serve. */
    LoadBalancerFactory BALANCE = ReweightingLoadBalancer::new;

    /**
     * One with these settings that draws its chance from the seed and has {@code out} do what it
     * decides.
     */
    LoadBalancer make(LoadBalancerSettings settings, long seed, LoadBalancerActions out);
}
