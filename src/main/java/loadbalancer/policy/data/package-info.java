/** Arithmetic and small data structures of the policy, without policy decisions. */
package loadbalancer.policy.data;
