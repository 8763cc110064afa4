/**
 * The interface of the load-balancing policy. {@link loadbalancer.LoadBalancer} receives events,
 * {@link loadbalancer.LoadBalancerActions} receives the decisions, and the records are settings,
 * requests, reports and snapshots.
 */
package loadbalancer;
