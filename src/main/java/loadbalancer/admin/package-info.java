/**
 * What operators see of a running balancer: its figures, and the door at which they ask for them.
 */
package loadbalancer.admin;
