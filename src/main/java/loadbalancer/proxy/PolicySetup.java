package loadbalancer.proxy;

/**
 * What a {@link RequestDispatcher} creates its policy from.
 *
 * @param factory creates the policy
 * @param seed seed of the policy's random numbers
 * @param maxPendingRequests maximum number of requests that wait for an endpoint at the same time
 */
public record PolicySetup(LoadBalancerFactory factory, long seed, int maxPendingRequests) {}
