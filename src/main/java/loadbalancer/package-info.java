/** Load-balancing decisions for proxies: {@link loadbalancer.LoadBalancer} is the interface. */
package loadbalancer;
