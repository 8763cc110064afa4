/**
 * The load balancing policy, with one class per rule. {@code docs/decisions-map.md} lists the rules
 * in the same order. The class comment of a rule states what the rule decides, which inputs it uses
 * and what it leaves to other rules. {@link loadbalancer.policy.EventDispatcher} passes events to
 * the rules; {@code EndpointComponents} and {@code RequestComponents} wire them together. Other
 * packages reach the policy only through {@link loadbalancer.ReweightingLoadBalancer}.
 *
 * <p>All classes are confined to the thread that calls the policy, and none of them blocks. Times
 * are in microseconds of the clock that is passed in with each event. The cost of a request is its
 * expected work in microseconds on an endpoint of capacity weight 1. Queue lengths are in requests
 * of mean cost.
 */
package loadbalancer.policy;
