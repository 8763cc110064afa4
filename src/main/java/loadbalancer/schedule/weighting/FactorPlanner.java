package loadbalancer.schedule.weighting;

/**
 * Translates weight factors for a controller that steers each upstream's reported utilisation to
 * the mean of all upstreams. The controller would undo a factor on the weight alone: the upstream
 * would report less than the mean, and its log weight would rise by the difference each period
 * until it reported the mean again. The target therefore changes too: an upstream with factor f is
 * steered to f times the mean, and upstreams without a factor take the remaining work, so that the
 * mean does not change. The upstream's share of the work is then f times the usual share, since
 * utilisation is work divided by capacity. The factor also applies to the weight, so that it takes
 * effect immediately. The log weight of an upstream with a factor must not leak, since the leak
 * would shift it where queues are long and only the fourth root of the weight counts.
 *
 * <p>Stateless. Arrays have one element per upstream; utilisations are ratios.
 */
public final class FactorPlanner {
    /** Maximum utilisation to steer to. Above it, waiting times grow much faster than the load. */
    public static final double MAX_UTILISATION = 0.8;

    /** Upstreams without a factor keep at least this fraction of their share. */
    static final double MIN_REMAINING_FRACTION = 0.1;

    private FactorPlanner() {}

    /**
     * Estimates the mean utilisation that all upstreams would report without factors. The estimate
     * divides the work of the reporting upstreams by their capacity times factor, so that balancers
     * that see different upstreams get the same mean.
     *
     * @param utilisations reported utilisations, NaN for upstreams without a report
     * @param factors the factors steered to at present, planned over all upstreams
     */
    public static double meanUtilisation(
            double[] utilisations, double[] capacity, double[] factors) {
        double work = 0;
        double effectiveCapacity = 0;
        for (int i = 0; i < utilisations.length; i++) {
            if (!Double.isNaN(utilisations[i])) {
                work += capacity[i] * utilisations[i];
                effectiveCapacity += capacity[i] * factors[i];
            }
        }
        return effectiveCapacity > 0 ? work / effectiveCapacity : 0;
    }

    /**
     * Returns an upstream's overall factor: the mean of the factors of its classes and tenants,
     * weighted by their work.
     *
     * @param workFractions fraction of the work of each class and tenant; the sum is 1
     */
    public static double workWeightedFactor(double[] workFractions, double[] factors) {
        double sum = 0;
        for (int i = 0; i < workFractions.length; i++) {
            sum += workFractions[i] * factors[i];
        }
        return sum;
    }

    /**
     * Plans the factors to steer to. A wanted factor of 1 means that the upstream has no factor and
     * takes the remaining work. If too little would remain for these upstreams, all other factors
     * are scaled down. If an upstream would be steered beyond {@link #MAX_UTILISATION}, all factors
     * move towards 1 by a common fraction.
     *
     * @param capacity capacities in any common unit
     * @param mean mean utilisation, smoothed by {@link HeadroomMonitor}; 0 if unknown, in which
     *     case the effect is not reduced
     */
    public static FactorPlan plan(double[] wanted, double[] capacity, double mean) {
        double[] factors = balancedFactors(wanted, capacity);
        double largest = 1;
        for (double factor : factors) {
            largest = Math.max(largest, factor);
        }
        double effectFraction =
                mean <= 0 || largest * mean <= MAX_UTILISATION
                        ? 1
                        : Math.max(0, (MAX_UTILISATION / mean - 1) / (largest - 1));
        for (int i = 0; i < factors.length; i++) {
            factors[i] = 1 + effectFraction * (factors[i] - 1);
        }
        return new FactorPlan(factors, effectFraction);
    }

    /** Scales the wanted factors so that their capacity-weighted mean is 1. */
    private static double[] balancedFactors(double[] wanted, double[] capacity) {
        double total = 0;
        double withoutFactor = 0;
        double withFactor = 0;
        for (int i = 0; i < wanted.length; i++) {
            total += capacity[i];
            withoutFactor += wanted[i] == 1 ? capacity[i] : 0;
            withFactor += wanted[i] == 1 ? 0 : capacity[i] * wanted[i];
        }
        double scale =
                withoutFactor == 0
                        ? total / withFactor
                        : Math.min(
                                1, (total - MIN_REMAINING_FRACTION * withoutFactor) / withFactor);
        double remaining = withoutFactor == 0 ? 1 : (total - scale * withFactor) / withoutFactor;
        double[] factors = new double[wanted.length];
        for (int i = 0; i < wanted.length; i++) {
            factors[i] = wanted[i] == 1 ? remaining : wanted[i] * scale;
        }
        return factors;
    }

    /** Returns the utilisation to steer an upstream to instead of the mean. */
    public static double targetUtilisation(double factor, double mean) {
        return factor * mean;
    }

    /** Returns the ratio by which an upstream's log weight decays each period. */
    public static double leakRatio(double wanted, double usualLeakRatio) {
        return wanted == 1 ? usualLeakRatio : 0;
    }

    /**
     * Returns the multiplier of the weight when picking an upstream for one class and tenant. All
     * requests to an upstream share one queue, so the shares of classes and tenants differ by
     * exactly these multipliers.
     *
     * @param planned the upstream's factor from the plan
     * @param wanted the upstream's wanted factor over all work
     * @param own the calendar's factor for the class and tenant at the upstream
     */
    public static double pickMultiplier(double planned, double wanted, double own) {
        return planned * own / wanted;
    }
}
