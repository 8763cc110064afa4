/**
 * What a balancer stores so that it outlives the process: the snapshot, its format on disk, and the
 * files. {@link loadbalancer.StateRestoration} decides how far it is trusted. No clock and no
 * threads in here.
 */
package loadbalancer.snapshot;
