/**
 * Durable storage of the accepted changes: an append-only log, its compaction into snapshots, and
 * the fenced epoch. Files are passed in; no clock, thread or socket.
 */
package loadbalancer.control.store;
