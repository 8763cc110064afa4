/**
 * Whether the new does worse than the old: a sequential test on robust paired differences, which
 * may be looked at after every window. What is missing, stale or too little means wait, never go
 * on.
 */
package loadbalancer.rollout.analysis;
