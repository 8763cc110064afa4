/**
 * The subscriber's side: follows a publisher, collects updates, applies them in slices and
 * acknowledges what is in force. Time, randomness, connections and files are passed in; no I/O,
 * clock or thread.
 */
package loadbalancer.control.subscribe;
