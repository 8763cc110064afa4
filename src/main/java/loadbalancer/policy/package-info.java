/**
 * The decisions, one module for each thing that an operator could name; {@code
 * docs/decisions-map.md} has them in the order in which a request meets them. From outside they are
 * reached through {@link loadbalancer.ReweightingLoadBalancer} alone.
 */
package loadbalancer.policy;
