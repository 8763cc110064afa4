/** Computes how weight factors change the utilisation that upstreams are steered to. */
package loadbalancer.schedule.weighting;
