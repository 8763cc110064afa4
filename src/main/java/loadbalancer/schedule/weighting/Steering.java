package loadbalancer.schedule.weighting;

/**
 * What a factor on an upstream's weight means for a mechanism that steers each upstream's reported
 * utilisation to the mean of all. A factor on the weight alone is taken back: the upstream then
 * reports less than the mean, and its log weight rises by that difference each period until it
 * reports the mean again. So the point that it steers to moves as well: an upstream with factor f
 * is steered to f times the mean, and those without a factor take up what is left, so that the mean
 * stays the same. Its share of the work is then f times what it would be, since utilisation is work
 * over capacity. The factor on the weight remains, so that the change is there at once; and what
 * the log weight of an upstream with a factor has to hold beyond that must not leak, or it would be
 * off by the leak: where lines are long, weight counts by its fourth root.
 *
 * <p>Arithmetic only; arrays have an element for each upstream.
 */
public final class Steering {
    /**
     * No upstream is steered to more utilisation: above it waiting grows by a multiple of what is
     * moved, and the traffic of the next seconds needs room too.
     */
    public static final double ROOM = 0.8;

    /**
     * Those without a factor keep at least this part of their share: as little as a factor can say.
     */
    static final double LEAST_LEFT = 0.1;

    private Steering() {}

    /**
     * Factors that can be steered to.
     *
     * @param factors of all upstreams, their mean weighted by capacity is 1
     * @param kept what of the wanted factors' effect room allows for: 1 is all, 0 nothing
     */
    public record Plan(double[] factors, double kept) {}

    /**
     * What all upstreams would report without factors, told from those that report: the work that
     * they do over the capacity that they stand for by their factors. A balancer that sees a part
     * of the upstreams gets the same as one that sees others; a plain mean of the part would depend
     * on how many in it have a factor.
     *
     * @param loads NaN where nothing is reported
     * @param factors steered to at present, of the plan over all listed upstreams
     */
    public static double mean(double[] loads, double[] capacity, double[] factors) {
        double sum = 0;
        double all = 0;
        for (int i = 0; i < loads.length; i++) {
            if (!Double.isNaN(loads[i])) {
                sum += capacity[i] * loads[i];
                all += capacity[i] * factors[i];
            }
        }
        return all > 0 ? sum / all : 0;
    }

    /**
     * One factor for an upstream out of those of classes and tenants, each with its part of all
     * work.
     *
     * @param parts of the work, 1 together
     */
    public static double ofWork(double[] parts, double[] factors) {
        double sum = 0;
        for (int i = 0; i < parts.length; i++) {
            sum += parts[i] * factors[i];
        }
        return sum;
    }

    /**
     * What to steer to where the calendar wants {@code wanted}; 1 is an upstream without a factor,
     * and takes up what is left. Where too little would be left for them, all the others get
     * proportionally less. Where one would be steered to more than {@link #ROOM}, all factors go
     * towards 1 by one common part: room wins.
     *
     * @param capacity any measure common to all
     * @param mean of the utilisation, smoothed by {@link Headroom}; 0 if it is not known: then
     *     nothing is relaxed
     */
    public static Plan plan(double[] wanted, double[] capacity, double mean) {
        double all = 0;
        double plain = 0;
        double moved = 0;
        for (int i = 0; i < wanted.length; i++) {
            all += capacity[i];
            plain += wanted[i] == 1 ? capacity[i] : 0;
            moved += wanted[i] == 1 ? 0 : capacity[i] * wanted[i];
        }
        double scale = plain == 0 ? all / moved : Math.min(1, (all - LEAST_LEFT * plain) / moved);
        double left = plain == 0 ? 1 : (all - scale * moved) / plain;
        double most = 1;
        double[] factors = new double[wanted.length];
        for (int i = 0; i < wanted.length; i++) {
            factors[i] = wanted[i] == 1 ? left : wanted[i] * scale;
            most = Math.max(most, factors[i]);
        }
        double kept =
                mean <= 0 || most * mean <= ROOM ? 1 : Math.max(0, (ROOM / mean - 1) / (most - 1));
        for (int i = 0; i < wanted.length; i++) {
            factors[i] = 1 + kept * (factors[i] - 1);
        }
        return new Plan(factors, kept);
    }

    /** The utilisation to steer an upstream to, in place of the mean. */
    public static double target(double factor, double mean) {
        return factor * mean;
    }

    /**
     * What of its log weight an upstream forgets each period, where it is {@code usual} without a
     * factor.
     */
    public static double leak(double wanted, double usual) {
        return wanted == 1 ? usual : 0;
    }

    /**
     * The factor on the weight in the pick, for one class and tenant: all of an upstream's requests
     * are picked by the same lines, so that their shares differ by exactly what these factors
     * differ.
     *
     * @param planned the upstream's, from the plan
     * @param wanted the upstream's, over all work
     * @param own the calendar's for that class and tenant there
     */
    public static double multiplier(double planned, double wanted, double own) {
        return planned * own / wanted;
    }
}
