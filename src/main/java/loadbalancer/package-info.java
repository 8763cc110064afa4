/**
 * The interface of the load-balancing policy: {@link loadbalancer.LoadBalancer} takes events,
 * {@link loadbalancer.LoadBalancerActions} the decisions, and the records are their settings and
 * messages.
 */
package loadbalancer;
