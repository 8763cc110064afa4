/**
 * State that a balancer persists across restarts: the snapshot, its file format and the storage of
 * its files. {@link loadbalancer.StateRestoration} decides how much a restored snapshot is trusted.
 * The package uses neither a clock nor threads.
 */
package loadbalancer.snapshot;
