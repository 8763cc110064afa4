/**
 * Automated canary analysis. Sequential tests on robust differences, which may be read after every
 * window, detect whether balancers with the new program perform worse than those with the old one.
 * Missing, late or too few metrics make a verdict inconclusive and never a pass.
 */
package loadbalancer.rollout.analysis;
