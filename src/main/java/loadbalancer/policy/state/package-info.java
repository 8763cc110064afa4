/**
 * What an instance keeps: its upstreams, its open requests, and what it has counted and measured.
 * Nothing here decides. What only one module of the decisions writes is a part of its own, named
 * after it, and {@code DirectionsTest} holds that no other module touches it.
 */
package loadbalancer.policy.state;
