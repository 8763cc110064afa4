/**
 * Durable storage of the accepted changes: an append-only log, its compaction into snapshots, and
 * the fencing of writers by epoch. Files are passed in; the package uses no clocks, threads or
 * sockets.
 */
package loadbalancer.control.store;
