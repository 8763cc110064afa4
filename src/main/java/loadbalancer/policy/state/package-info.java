/**
 * The state of a policy instance: endpoints, open requests, counts and measurements. This package
 * contains no policy decisions. A class named after a rule ({@code OutlierState}, {@code
 * SlowStartState} and so on) holds the state of that rule for one endpoint; {@code DirectionsTest}
 * checks that no other rule uses it.
 *
 * <p>All classes are confined to the thread that calls the policy. Times are in microseconds of the
 * clock that is passed in with each event.
 */
package loadbalancer.policy.state;
