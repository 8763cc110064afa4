package loadbalancer.proxy;

/**
 * How a {@link RequestDispatcher} makes its policy.
 *
 * @param factory makes the policy
 * @param seed of its random numbers
 * @param maxPendingRequests how many requests may wait for an endpoint at a time
 */
public record PolicySetup(LoadBalancerFactory factory, long seed, int maxPendingRequests) {}
