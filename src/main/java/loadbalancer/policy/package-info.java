/**
 * The load balancing policy: one class for each rule, in the order of {@code
 * docs/decisions-map.md}. The class comment of a rule says what it decides, from which inputs, and
 * what it never does. {@link loadbalancer.policy.EventDispatcher} hands events to the rules; {@code
 * EndpointComponents} and {@code RequestComponents} wire them. Other packages reach the policy
 * through {@link loadbalancer.ReweightingLoadBalancer} alone.
 *
 * <p>All classes are confined to the thread that calls the policy, and none of them blocks. Times
 * are microseconds of the clock that is handed in with each event; a cost is expected work in
 * microseconds of an endpoint of capacity weight 1; queue lengths are in mean requests.
 */
package loadbalancer.policy;
