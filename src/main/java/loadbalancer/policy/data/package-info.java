/** Arithmetic and small data structures of the policy. Nothing here decides. */
package loadbalancer.policy.data;
