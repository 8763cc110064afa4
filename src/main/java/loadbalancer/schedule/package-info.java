/**
 * The operators' calendar: windows that change the weights of routes at all balancers at once. Pure
 * logic on what the fleet shares; time is handed in.
 */
package loadbalancer.schedule;
