package loadbalancer.schedule.weighting;

/**
 * The factors that upstreams are steered to.
 *
 * @param factors one per upstream; their capacity-weighted mean is 1
 * @param effectFraction fraction of the wanted factors' effect that the headroom allows, 0 to 1
 */
public record FactorPlan(double[] factors, double effectFraction) {}
