/**
 * Scale runs of the distribution in real processes: one writer, three followers, and subscribers
 * without a request path that share processes.
 */
package loadbalancer.faults.control.scale;
