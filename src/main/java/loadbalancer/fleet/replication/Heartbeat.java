package loadbalancer.fleet.replication;

import loadbalancer.fleet.replication.Item.Tally;

/**
 * A member's word that all it said last still holds: a tally of its generation that goes up by one
 * now and then. It renews every document of its member at the cost of 30 bytes.
 */
final class Heartbeat {
    static final String TOPIC = "fleet/beat";

    /** Between two at least: a fleet of 100 learns within a lease of 30 s that a member is away. */
    private static final long LEAST = 5_000_000;

    /**
     * For each member of the fleet: each hears 20 new ones a second at most, however large the
     * fleet, which are 2 kB a second when passed on.
     */
    private static final long EACH = 50_000;

    /** Of these intervals make a lease, so that four in a row may be lost on all ways. */
    private static final int LEASE = 6;

    private Heartbeat() {}

    static boolean is(Tally t) {
        return TOPIC.equals(t.topic());
    }

    static Tally of(String member, Holding holding) {
        return new Tally(TOPIC, member, holding.generation(), new long[] {holding.beat()});
    }

    static long count(Tally t) {
        return t.values().length == 0 ? 0 : t.values()[0];
    }

    /** Microseconds from one to the next. */
    static long interval(int members) {
        return Math.max(LEAST, members * EACH);
    }

    /** For how long a statement counts since its member was last heard, in microseconds. */
    static long lease(int members) {
        return LEASE * interval(members);
    }
}
