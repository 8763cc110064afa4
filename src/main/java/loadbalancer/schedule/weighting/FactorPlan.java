package loadbalancer.schedule.weighting;

/**
 * Factors that upstreams can be steered to.
 *
 * @param factors of all upstreams; their mean weighted by capacity is 1
 * @param effectFraction of the wanted factors' effect that headroom allows: 1 is all, 0 nothing
 */
public record FactorPlan(double[] factors, double effectFraction) {}
