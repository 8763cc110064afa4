/**
 * Protocol of the platform's simulator: batches of events as JSON lines on standard input, and a
 * reply with the resulting actions for each on standard output. {@link
 * loadbalancer.adapter.WireFieldNames} lists its names by the terms of {@link
 * loadbalancer.LoadBalancer}.
 */
package loadbalancer.adapter;
