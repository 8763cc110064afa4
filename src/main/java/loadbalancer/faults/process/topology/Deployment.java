package loadbalancer.faults.process.topology;

/**
 * Whose settings the balancers of a run have.
 *
 * @param scope of keyed requests: {@code all}, {@code zone} or {@code cell}
 * @param windowMs in which a keyed request may be repeated
 * @param longestMs the longest that a client waits
 * @param coldMs for how long an upstream is cold at most
 * @param startCapacity of its capacity at its start
 * @param secondCopies whether two attempts of a request may be out
 * @param discovery {@code pushed} or {@code on_request}
 */
public record Deployment(
        String name,
        String scope,
        long windowMs,
        int longestMs,
        long coldMs,
        double startCapacity,
        boolean secondCopies,
        String discovery) {
    /** The one of the runs so far. */
    public static final Deployment USUAL =
            new Deployment("usual", "all", 2_000, 3_000, 3_000, 0.3, true, "pushed");

    /** Short deadlines and windows, a narrow scope, a colder start, lists that are asked for. */
    public static final Deployment SHORT =
            new Deployment("short", "zone", 600, 1_200, 5_000, 0.15, false, "on_request");

    /** By its name. */
    public static Deployment of(String name) {
        if (name.equals(USUAL.name())) {
            return USUAL;
        }
        if (name.equals(SHORT.name())) {
            return SHORT;
        }
        throw new IllegalArgumentException("no deployment " + name);
    }

    /** Upstreams of which each discards what another of them has run, by the number of one. */
    public String group(int upstream) {
        return scope.equals("all") ? "" : Topology.zone(upstream);
    }
}
