/**
 * Binds a balancer to control machines: lays the resources of its service over its local
 * configuration, keeps them on disk and takes each update in force on the balancer's event loop.
 */
package loadbalancer.node.control;
