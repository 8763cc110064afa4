package loadbalancer.fleet.replication;

import loadbalancer.fleet.replication.Item.Counters;

/**
 * A heartbeat renews the lease of all documents that a member has published. It is a counter that
 * increases periodically, sent as {@link Counters} whose window is the member's incarnation.
 * Stateless; times are microseconds.
 */
final class Heartbeat {
    /** Topic of heartbeats, part of the wire format. */
    static final String TOPIC = "fleet/beat";

    private static final long MIN_INTERVAL_MICROS = 5_000_000;

    /** Bounds the rate of heartbeats in the whole fleet, whatever its size. */
    private static final long INTERVAL_PER_MEMBER_MICROS = 50_000;

    /** Tolerates the loss of several consecutive heartbeats. */
    private static final int INTERVALS_PER_LEASE = 6;

    private Heartbeat() {}

    static boolean isHeartbeat(Counters counters) {
        return TOPIC.equals(counters.topic());
    }

    /** Creates a heartbeat of a member. */
    static Counters of(String member, long incarnation, long count) {
        return new Counters(TOPIC, member, incarnation, new long[] {count});
    }

    static long count(Counters heartbeat) {
        return heartbeat.values().length == 0 ? 0 : heartbeat.values()[0];
    }

    /** Returns the interval between heartbeats in a fleet of that size. */
    static long intervalMicros(int fleetSize) {
        return Math.max(MIN_INTERVAL_MICROS, fleetSize * INTERVAL_PER_MEMBER_MICROS);
    }

    /** Returns how long documents are valid after the last new item of their member. */
    static long leaseMicros(int fleetSize) {
        return INTERVALS_PER_LEASE * intervalMicros(fleetSize);
    }
}
