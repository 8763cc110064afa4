/**
 * The subscriber's side of the distribution: subscribes to a publisher, collects updates, applies
 * them in slices and acknowledges the revision in force. Time, randomness, connections and files
 * are passed in; the package uses no I/O, clocks or threads.
 */
package loadbalancer.control.subscribe;
