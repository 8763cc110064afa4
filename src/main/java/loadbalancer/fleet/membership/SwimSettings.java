package loadbalancer.fleet.membership;

import java.util.List;

/**
 * The parameters of {@link Swim}. Times are microseconds.
 *
 * @param name this member's name, 1 to 64 printable characters
 * @param address where this member receives datagrams, {@code host:port}
 * @param zone this member's zone, may be empty
 * @param seeds addresses through which to join the fleet, may include this member's own
 * @param probeIntervalMicros interval between the probes that a healthy member sends
 * @param probeTimeoutMicros time without an ack until indirect probes start; should be at most half
 *     of the interval, so that indirect probes have as much time
 * @param indirectProbes number of members that are requested to probe indirectly
 * @param suspicionMultiplier shortest suspicion timeout in a fleet of up to 10 members, in probe
 *     intervals; in a larger one it is multiplied by the decimal logarithm of the number of members
 * @param suspicionMaxTimeoutMultiplier ratio of the longest to the shortest suspicion timeout
 * @param gossipIntervalMicros interval between rounds of gossip while updates are queued
 * @param gossipFanout number of members to which a round of gossip is sent
 * @param forgetAfterMicros time after which a member that is dead or has left is forgotten
 * @param maxMembers maximum size of the member table, including this member; 2 or more
 * @param conflictQuietMicros time after which a name conflict ends if the name has not alternated
 *     between machines
 */
public record SwimSettings(
        String name,
        String address,
        String zone,
        List<String> seeds,
        long probeIntervalMicros,
        long probeTimeoutMicros,
        int indirectProbes,
        int suspicionMultiplier,
        int suspicionMaxTimeoutMultiplier,
        long gossipIntervalMicros,
        int gossipFanout,
        long forgetAfterMicros,
        int maxMembers,
        long conflictQuietMicros) {
    /** The interval of SWIM, and of memberlist on a local network. */
    public static final long PROBE_INTERVAL_MICROS = 1_000_000;

    /** Long enough that a pause of the garbage collector does not fail a probe. */
    public static final long PROBE_TIMEOUT_MICROS = 500_000;

    /** The default of SWIM. */
    public static final int INDIRECT_PROBES = 3;

    /** The parameter alpha of Lifeguard. */
    public static final int SUSPICION_MULTIPLIER = 5;

    /** The parameter beta of Lifeguard. */
    public static final int SUSPICION_MAX_TIMEOUT_MULTIPLIER = 6;

    /** The default of memberlist for a local network. */
    public static final long GOSSIP_INTERVAL_MICROS = 200_000;

    /** The default of memberlist. */
    public static final int GOSSIP_FANOUT = 3;

    /**
     * Longer than a usual network outage, since dead members are reconnected only until they are
     * forgotten.
     */
    public static final long FORGET_AFTER_MICROS = 3_600_000_000L;

    /** Bounds the memory of the table. */
    public static final int MAX_MEMBERS = 2_000;

    /** Ten times the time in which two machines with one name refute each other. */
    public static final long CONFLICT_QUIET_MICROS = 60_000_000;

    private static final long MIN_PROBE_INTERVAL_MICROS = 10;

    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a name, time or count is out of range
     */
    public SwimSettings {
        if (!MemberFormat.hasValidNames(name, address, zone)) {
            throw new IllegalArgumentException(
                    "fleet member: the name must have 1 to 64 printable characters, the zone 0 to"
                            + " 64, the address the form host:port");
        }
        if (probeIntervalMicros < MIN_PROBE_INTERVAL_MICROS
                || probeTimeoutMicros < 1
                || probeTimeoutMicros >= probeIntervalMicros
                || gossipIntervalMicros < 1
                || forgetAfterMicros < probeIntervalMicros
                || conflictQuietMicros < probeIntervalMicros) {
            throw new IllegalArgumentException(
                    "fleet member: the probe interval must be at least 10 us and above the probe"
                            + " timeout, the forget and conflict times at least the probe"
                            + " interval, other times at least 1 us");
        }
        if (indirectProbes < 0
                || suspicionMultiplier < 1
                || suspicionMaxTimeoutMultiplier < 1
                || gossipFanout < 1
                || maxMembers < 2) {
            throw new IllegalArgumentException(
                    "fleet member: indirect probes must be at least 0, multipliers and gossip"
                            + " fanout at least 1, and the maximum of members at least 2");
        }
        seeds = List.copyOf(seeds);
    }

    /**
     * Creates settings with the default times and counts.
     *
     * @throws IllegalArgumentException if the name, address or zone is invalid
     */
    public static SwimSettings of(String name, String address, String zone, List<String> seeds) {
        return new SwimSettings(
                name,
                address,
                zone,
                seeds,
                PROBE_INTERVAL_MICROS,
                PROBE_TIMEOUT_MICROS,
                INDIRECT_PROBES,
                SUSPICION_MULTIPLIER,
                SUSPICION_MAX_TIMEOUT_MULTIPLIER,
                GOSSIP_INTERVAL_MICROS,
                GOSSIP_FANOUT,
                FORGET_AFTER_MICROS,
                MAX_MEMBERS,
                CONFLICT_QUIET_MICROS);
    }

    /**
     * Returns a copy of these settings with another maximum number of members.
     *
     * @throws IllegalArgumentException if the number is below 2
     */
    public SwimSettings withMaxMembers(int members) {
        return new SwimSettings(
                name,
                address,
                zone,
                seeds,
                probeIntervalMicros,
                probeTimeoutMicros,
                indirectProbes,
                suspicionMultiplier,
                suspicionMaxTimeoutMultiplier,
                gossipIntervalMicros,
                gossipFanout,
                forgetAfterMicros,
                members,
                conflictQuietMicros);
    }
}
