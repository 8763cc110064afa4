/**
 * Binds a balancer to control servers: overlays the resources of its service on its local
 * configuration, stores them and applies each update on the balancer's event loop.
 */
package loadbalancer.node.control;
