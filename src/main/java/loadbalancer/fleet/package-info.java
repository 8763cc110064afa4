/**
 * The fleet: the balancers of one tier that are configured to communicate. They share the
 * membership and replicated documents, flags and counters. It is off unless the operator's file has
 * a section {@code [fleet]}; the platform's {@code run} loads nothing of it.
 *
 * <p>Nothing in here names an upstream, ejects one, or gives one more retries or a larger
 * slow-start budget because of what another balancer states.
 */
package loadbalancer.fleet;
