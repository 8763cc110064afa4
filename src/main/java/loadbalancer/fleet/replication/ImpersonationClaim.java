package loadbalancer.fleet.replication;

import java.nio.ByteBuffer;
import loadbalancer.fleet.replication.Item.Flag;

/**
 * A member's claim that another process publishes under its name. Only the flag that a member
 * raises itself counts against its name, so that a false claim about others takes away only the
 * claimant's own vote. It is a flag, so that the impersonator can't revoke it; it holds up to an
 * incarnation, so that a member that operators have restarted may vote again. Stateless.
 */
final class ImpersonationClaim {
    /** Part of the wire format. */
    static final String TOPIC = "fleet/forged";

    private ImpersonationClaim() {}

    /** Claims that what the member published up to an incarnation is not trustworthy. */
    static Flag flag(String member, long incarnation) {
        byte[] reason = ByteBuffer.allocate(Long.BYTES).putLong(incarnation).array();
        return new Flag(TOPIC, member, reason);
    }

    /** Whether a claim holds for what that member publishes now. */
    static boolean appliesTo(MemberReplica replica) {
        Flag flag = replica.flag(TOPIC);
        return flag != null
                && (flag.reason().length != Long.BYTES
                        || ByteBuffer.wrap(flag.reason()).getLong() >= replica.incarnation());
    }
}
