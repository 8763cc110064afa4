/**
 * Automated canary analysis: whether balancers on the new program do worse than those on the old
 * one, by sequential tests on robust differences that may be read after every window. Missing, late
 * or too few metrics make a verdict inconclusive, never a pass.
 */
package loadbalancer.rollout.analysis;
