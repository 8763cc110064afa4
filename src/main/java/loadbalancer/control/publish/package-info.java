/**
 * Sends the state to subscribers: cursors, merged deltas, snapshots in parts, admission and rates.
 * Time, chance and the subscribers' connections are handed in; no I/O, clock or thread.
 */
package loadbalancer.control.publish;
