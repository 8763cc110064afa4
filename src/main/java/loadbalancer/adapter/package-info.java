/**
 * The wire of the simulator: batches of events as JSON lines on standard input, and a reply with
 * the actions on standard output for each. {@link loadbalancer.adapter.WireFieldNames} maps its
 * words to the terms of {@link loadbalancer.LoadBalancer}.
 */
package loadbalancer.adapter;
