/**
 * The operators' calendar: windows that change the weights of routes at all balancers at once.
 * Logic only, on what the fleet replicates; times are passed in.
 */
package loadbalancer.schedule;
