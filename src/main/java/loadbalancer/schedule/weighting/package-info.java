/** How a weight factor moves the utilisation that upstreams are steered to. Arithmetic only. */
package loadbalancer.schedule.weighting;
