/**
 * Sends the state to subscribers: cursors, merged deltas, snapshots in parts, admission control and
 * rate limits. Time, randomness and the subscribers' connections are passed in; the package uses no
 * I/O, clocks or threads.
 */
package loadbalancer.control.publish;
