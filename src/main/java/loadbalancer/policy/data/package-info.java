/**
 * Arithmetic and data structures beside the decisions. Nothing here decides: numbers in, numbers
 * out.
 */
package loadbalancer.policy.data;
