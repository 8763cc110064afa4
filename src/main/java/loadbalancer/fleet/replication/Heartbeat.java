package loadbalancer.fleet.replication;

import loadbalancer.fleet.replication.Item.Counters;

/**
 * Renews the lease of all that a member has published: a counter of its incarnation that rises
 * regularly, sent as {@link Counters} whose window is the incarnation. Stateless; times are
 * microseconds.
 */
final class Heartbeat {
    /** Part of the wire format. */
    static final String TOPIC = "fleet/beat";

    private static final long MIN_INTERVAL_MICROS = 5_000_000;

    /** Makes the rate of heartbeats in the whole fleet independent of its size. */
    private static final long INTERVAL_PER_MEMBER_MICROS = 50_000;

    /** Tolerates that several heartbeats in a row are lost. */
    private static final int INTERVALS_PER_LEASE = 6;

    private Heartbeat() {}

    static boolean isHeartbeat(Counters counters) {
        return TOPIC.equals(counters.topic());
    }

    /** A heartbeat of a member. */
    static Counters of(String member, long incarnation, long count) {
        return new Counters(TOPIC, member, incarnation, new long[] {count});
    }

    static long count(Counters heartbeat) {
        return heartbeat.values().length == 0 ? 0 : heartbeat.values()[0];
    }

    /** Time between two heartbeats in a fleet of that size. */
    static long intervalMicros(int fleetSize) {
        return Math.max(MIN_INTERVAL_MICROS, fleetSize * INTERVAL_PER_MEMBER_MICROS);
    }

    /** How long documents are valid after their member was last heard. */
    static long leaseMicros(int fleetSize) {
        return INTERVALS_PER_LEASE * intervalMicros(fleetSize);
    }
}
