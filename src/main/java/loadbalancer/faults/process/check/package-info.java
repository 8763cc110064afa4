/**
 * Judges a run from what clients, upstreams and discovery wrote down, and from the rig's own list
 * of what it did. Shares no code with the balancer. Times are microseconds of the rig's clock.
 */
package loadbalancer.faults.process.check;
