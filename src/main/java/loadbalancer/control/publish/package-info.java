/**
 * Sends the state to subscribers: cursors, merged deltas, snapshots in parts, admission and rates.
 * Time, randomness and the subscribers' connections are passed in; no I/O, clock or thread.
 */
package loadbalancer.control.publish;
