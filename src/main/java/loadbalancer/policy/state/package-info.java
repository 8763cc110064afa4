/**
 * What a policy instance keeps: endpoints, open requests, counts and measurements. Nothing here
 * decides. A class named after a rule ({@code OutlierState}, {@code SlowStartState}...) is what
 * that rule keeps of one endpoint; {@code DirectionsTest} holds that no other rule uses it.
 *
 * <p>All classes are confined to the thread that calls the policy. Times are microseconds of the
 * clock that is handed in with each event.
 */
package loadbalancer.policy.state;
