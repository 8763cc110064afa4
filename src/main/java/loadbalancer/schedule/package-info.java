/**
 * Applies the operators' calendar, whose windows change the weights of routes at all balancers
 * simultaneously. The classes work on replicated state without I/O; the caller passes in times.
 */
package loadbalancer.schedule;
