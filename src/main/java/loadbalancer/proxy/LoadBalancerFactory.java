package loadbalancer.proxy;

import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.ReweightingLoadBalancer;

/** Creates policies. */
public interface LoadBalancerFactory {
    /** Creates the policy that balancers use in operation. */
    LoadBalancerFactory BALANCE = ReweightingLoadBalancer::new;

    /**
     * Creates a policy.
     *
     * @param seed seed of its random numbers
     * @param actions carries out its decisions
     */
    LoadBalancer create(LoadBalancerSettings settings, long seed, LoadBalancerActions actions);
}
