package loadbalancer.fleet.membership;

import java.util.List;

/**
 * How a member takes part. Times are microseconds.
 *
 * @param name 1 to 64 printable characters
 * @param address where this member's datagrams come to, {@code host:port}
 * @param zone may be empty
 * @param seeds addresses through which to join; this member's own may be among them
 * @param probePeriod between two probes of a member in health
 * @param pingTimeout until others are asked to try, below half the period with the way of their
 *     answers
 * @param indirect how many others are asked
 * @param suspicionFactor least length of a suspicion, in periods, for each power of ten of members
 * @param suspicionStretch its greatest length over the least
 * @param gossipPeriod between two rounds of rumours, while there are any
 * @param gossipFanout members told in a round
 * @param forgetAfter until a dead one or one that left is dropped
 * @param mostMembers in the table, this one too; 2 or more
 * @param contestSilence without a sign of two machines until a name is trusted again
 */
public record SwimSettings(
        String name,
        String address,
        String zone,
        List<String> seeds,
        long probePeriod,
        long pingTimeout,
        int indirect,
        int suspicionFactor,
        int suspicionStretch,
        long gossipPeriod,
        int gossipFanout,
        long forgetAfter,
        int mostMembers,
        long contestSilence) {
    /** As SWIM and memberlist have it for a local network: two packets a second and member. */
    public static final long PROBE_PERIOD = 1_000_000;

    /** Longer than a pause of the collector; half the period is left for others to try. */
    public static final long PING_TIMEOUT = 500_000;

    /** SWIM's own: with 10% loss all three ways fail together, there and back, in 4% of cases. */
    public static final int INDIRECT = 3;

    /** Lifeguard's alpha. */
    public static final int SUSPICION_FACTOR = 5;

    /** Lifeguard's beta. */
    public static final int SUSPICION_STRETCH = 6;

    /** Five rounds a second reach 100 members in about one, 1,000 in about one and a half. */
    public static final long GOSSIP_PERIOD = 200_000;

    /** Each round multiplies those who know by up to four. */
    public static final int GOSSIP_FANOUT = 3;

    /**
     * Longer than a switch or a line is usually away; meanwhile dead ones are tried now and then.
     */
    public static final long FORGET_AFTER = 3_600_000_000L;

    /** Twice the largest fleet that was tried. */
    public static final int MOST_MEMBERS = 2_000;

    /** Ten times as long as two machines that both live take to contradict each other. */
    public static final long CONTEST_SILENCE = 60_000_000;

    /** Checks what would break the protocol; the reader of the operator's file gives the place. */
    public SwimSettings {
        if (!MemberRules.validNames(name, address, zone)) {
            throw new IllegalArgumentException("name, address or zone of the member can't be used");
        }
        if (probePeriod < 10
                || pingTimeout < 1
                || pingTimeout >= probePeriod
                || gossipPeriod < 1
                || forgetAfter < probePeriod
                || contestSilence < probePeriod) {
            throw new IllegalArgumentException("the fleet's times don't fit each other");
        }
        if (indirect < 0
                || suspicionFactor < 1
                || suspicionStretch < 1
                || gossipFanout < 1
                || mostMembers < 2) {
            throw new IllegalArgumentException("the fleet's counts are too low");
        }
        seeds = List.copyOf(seeds);
    }

    /** With the usual times and counts. */
    public static SwimSettings of(String name, String address, String zone, List<String> seeds) {
        return new SwimSettings(
                name,
                address,
                zone,
                seeds,
                PROBE_PERIOD,
                PING_TIMEOUT,
                INDIRECT,
                SUSPICION_FACTOR,
                SUSPICION_STRETCH,
                GOSSIP_PERIOD,
                GOSSIP_FANOUT,
                FORGET_AFTER,
                MOST_MEMBERS,
                CONTEST_SILENCE);
    }

    /** The same with that bound of members. */
    public SwimSettings withMostMembers(int most) {
        return new SwimSettings(
                name,
                address,
                zone,
                seeds,
                probePeriod,
                pingTimeout,
                indirect,
                suspicionFactor,
                suspicionStretch,
                gossipPeriod,
                gossipFanout,
                forgetAfter,
                most,
                contestSilence);
    }
}
