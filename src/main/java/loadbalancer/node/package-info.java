/**
 * The balancer's process: configuration, discovery, life cycle, hand-over between processes and
 * stored state around the request dispatcher.
 */
package loadbalancer.node;
