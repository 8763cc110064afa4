package loadbalancer;

import loadbalancer.LoadBalancer.Known;

/**
 * How much is left of what an earlier instance knew. Each figure goes back, by a half-life of its
 * own, towards what an instance begins with that knows nothing: what belongs to the hardware keeps
 * its worth for long, what the hour's traffic made of it does not.
 */
public final class StateRestoration {
    /**
     * Of an in-flight limit: it follows the traffic of all balancers. Microseconds, as all here.
     */
    public static final long LIMIT = 60_000_000;

    /** Of a weight: reports every few seconds correct it. */
    public static final long WEIGHT = 30_000_000;

    /** Of times of service: they belong to the machine and the work. */
    public static final long TIMES = 600_000_000;

    /** Of errors. */
    public static final long ERRORS = 10_000_000;

    /** Of rates of requests and of work. */
    public static final long RATES = 60_000_000;

    /** Of the trust in a server that nobody has named since. */
    public static final long TRUST = 120_000_000;

    private StateRestoration() {}

    /** The part that is left of a figure after so long, from 1 to 0. */
    public static double left(long age, long halfLife) {
        return Math.pow(0.5, Math.max(0, age) / (double) halfLife);
    }

    static double towards(double fresh, double saved, double left) {
        return fresh + (saved - fresh) * left;
    }

    /**
     * What is believed of an upstream now; times that have run out are 0.
     *
     * @param limit what the in-flight limit is where nothing is known
     * @param pace the same for the pace
     */
    public static Known believed(Known k, long age, double limit, double pace) {
        double times = left(age, TIMES);
        return new Known(
                k.id(),
                k.launchedAt(),
                k.quiet() < 0 ? -1 : k.quiet() + age,
                k.logWeight() * left(age, WEIGHT),
                towards(limit, k.limit(), left(age, LIMIT)),
                times < 0.5 ? 0 : k.least(),
                times < 0.5 ? 0 : k.took(),
                towards(pace, k.pace(), times),
                k.errors() * left(age, ERRORS),
                Math.max(0, k.ejectedFor() - age),
                k.ejection(),
                k.doneRate() * left(age, RATES),
                k.tokens(),
                k.inFlight());
    }
}
