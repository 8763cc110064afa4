/** The real balancer in virtual time, among scripted peers and faults drawn from a seed. */
package loadbalancer.faults;
