package loadbalancer.fleet.membership;

import java.util.List;

/**
 * The parameters of {@link Swim}. Times are microseconds.
 *
 * @param name 1 to 64 printable characters
 * @param address where this member receives datagrams, {@code host:port}
 * @param zone may be empty
 * @param seeds addresses through which to join; this member's own may be among them
 * @param probeIntervalMicros between two probes of a healthy member
 * @param probeTimeoutMicros until indirect probes start; below half of the interval, so that they
 *     have time as well
 * @param indirectProbes how many members are asked to probe indirectly
 * @param suspicionMultiplier shortest suspicion timeout, in probe intervals per power of ten of
 *     members
 * @param suspicionMaxTimeoutMultiplier longest suspicion timeout over the shortest
 * @param gossipIntervalMicros between two rounds of gossip, while updates are queued
 * @param gossipFanout members that a round is sent to
 * @param forgetAfterMicros until a member that is dead or has left is forgotten
 * @param maxMembers in the table, this one included; 2 or more
 * @param conflictQuietMicros without a sign of two machines until a name is trusted again
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
    /** As in SWIM and memberlist for a local network. */
    public static final long PROBE_INTERVAL_MICROS = 1_000_000;

    /** Longer than a pause of the garbage collector. */
    public static final long PROBE_TIMEOUT_MICROS = 500_000;

    /** SWIM's default. */
    public static final int INDIRECT_PROBES = 3;

    /** Lifeguard's alpha. */
    public static final int SUSPICION_MULTIPLIER = 5;

    /** Lifeguard's beta. */
    public static final int SUSPICION_MAX_TIMEOUT_MULTIPLIER = 6;

    /** memberlist's default for a local network. */
    public static final long GOSSIP_INTERVAL_MICROS = 200_000;

    /** memberlist's default. */
    public static final int GOSSIP_FANOUT = 3;

    /** Longer than a usual outage of the network; meanwhile dead members are reconnected to. */
    public static final long FORGET_AFTER_MICROS = 3_600_000_000L;

    /** Bounds the memory of the table. */
    public static final int MAX_MEMBERS = 2_000;

    /** Ten times what two machines of one name take to refute each other. */
    public static final long CONFLICT_QUIET_MICROS = 60_000_000;

    private static final long MIN_PROBE_INTERVAL_MICROS = 10;

    /**
     * Checks what would break the protocol.
     *
     * @throws IllegalArgumentException if a name, time or count is out of range
     */
    public SwimSettings {
        if (!MemberFormat.hasValidNames(name, address, zone)) {
            throw new IllegalArgumentException("name, address or zone of the member is invalid");
        }
        if (probeIntervalMicros < MIN_PROBE_INTERVAL_MICROS
                || probeTimeoutMicros < 1
                || probeTimeoutMicros >= probeIntervalMicros
                || gossipIntervalMicros < 1
                || forgetAfterMicros < probeIntervalMicros
                || conflictQuietMicros < probeIntervalMicros) {
            throw new IllegalArgumentException("the fleet's times contradict each other");
        }
        if (indirectProbes < 0
                || suspicionMultiplier < 1
                || suspicionMaxTimeoutMultiplier < 1
                || gossipFanout < 1
                || maxMembers < 2) {
            throw new IllegalArgumentException("the fleet's counts are too low");
        }
        seeds = List.copyOf(seeds);
    }

    /**
     * Settings with the default times and counts.
     *
     * @throws IllegalArgumentException if a name is invalid
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
     * These settings with another bound of members.
     *
     * @throws IllegalArgumentException if it is below 2
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
