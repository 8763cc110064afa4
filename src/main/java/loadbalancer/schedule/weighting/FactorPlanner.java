package loadbalancer.schedule.weighting;

/**
 * What a weight factor means for a controller that steers each upstream's reported utilisation to
 * the mean of all. A factor on the weight alone is undone: the upstream then reports less than the
 * mean, and its log weight rises by that difference each period until it reports the mean again. So
 * the target moves as well: an upstream with factor f is steered to f times the mean, and those
 * without a factor take up the rest, so that the mean stays the same. Its share of the work is then
 * f times the usual one, since utilisation is work over capacity. The factor on the weight remains,
 * so that the change has effect at once. The log weight of an upstream with a factor must not leak,
 * or it would be off by the leak where queues are long and weight counts by its fourth root.
 *
 * <p>Stateless arithmetic; arrays have an element for each upstream. Utilisations are ratios.
 */
public final class FactorPlanner {
    /** No upstream is steered to more: above it, waiting times grow by a multiple of the load. */
    public static final double MAX_UTILISATION = 0.8;

    /** Upstreams without a factor keep at least this fraction of their share. */
    static final double MIN_REMAINING_FRACTION = 0.1;

    private FactorPlanner() {}

    /**
     * The mean that all upstreams would report without factors, estimated from those that report:
     * their work over the capacity that their factors stand for. So balancers that see different
     * upstreams get the same mean.
     *
     * @param utilisations NaN where nothing is reported
     * @param factors steered to at present, planned over all upstreams
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
     * One factor for an upstream from those of classes and tenants.
     *
     * @param workFractions of each class and tenant, 1 together
     */
    public static double workWeightedFactor(double[] workFractions, double[] factors) {
        double sum = 0;
        for (int i = 0; i < workFractions.length; i++) {
            sum += workFractions[i] * factors[i];
        }
        return sum;
    }

    /**
     * The factors to steer to. A wanted factor of 1 means an upstream without one, which takes up
     * the rest. Where too little would remain for those, all other factors shrink in proportion.
     * Where an upstream would be steered beyond {@link #MAX_UTILISATION}, all factors move towards
     * 1 by one common fraction.
     *
     * @param capacity in any common unit
     * @param mean utilisation, smoothed by {@link HeadroomMonitor}; 0 if unknown: then nothing is
     *     reduced
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

    /** The wanted factors, scaled so that their mean weighted by capacity is 1. */
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

    /** The utilisation to steer an upstream to, in place of the mean. */
    public static double targetUtilisation(double factor, double mean) {
        return factor * mean;
    }

    /** The ratio of its log weight that an upstream loses each period. */
    public static double leakRatio(double wanted, double usualLeakRatio) {
        return wanted == 1 ? usualLeakRatio : 0;
    }

    /**
     * The factor on the weight in the pick, for one class and tenant. All of an upstream's requests
     * see the same queue, so the shares of classes and tenants differ by exactly these factors.
     *
     * @param planned the upstream's, from the plan
     * @param wanted the upstream's, over all work
     * @param own the calendar's for that class and tenant there
     */
    public static double pickMultiplier(double planned, double wanted, double own) {
        return planned * own / wanted;
    }
}
