package loadbalancer.fleet.replication;

import java.nio.ByteBuffer;
import loadbalancer.fleet.replication.Item.Flag;

/**
 * A member's word that another speaks in its name. Only the flag that stands in a member's own name
 * contests that name, so who claims it of others takes away nobody's vote but its own. A flag, so
 * that whoever forges can't take it back; up to a generation, so that a member that operators have
 * started anew counts again.
 */
final class ImpersonationClaim {
    /** Of such flags. */
    static final String TOPIC = "fleet/forged";

    private ImpersonationClaim() {}

    /** That all of that member's statements up to a generation don't count. */
    static Flag flag(String member, long generation) {
        return new Flag(TOPIC, member, ByteBuffer.allocate(Long.BYTES).putLong(generation).array());
    }

    /** Whether what that member says now is contested. */
    static boolean standsAgainst(Holding holding) {
        Flag flag = holding.flags.get(TOPIC);
        return flag != null
                && (flag.reason().length != Long.BYTES
                        || ByteBuffer.wrap(flag.reason()).getLong() >= holding.generation());
    }
}
