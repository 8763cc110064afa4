package loadbalancer.fleet.replication;

import java.nio.ByteBuffer;
import loadbalancer.fleet.replication.Item.Flag;

/**
 * A member's claim that another process publishes under its name. A claim applies only to the
 * member that raises it, so that a malicious member can remove only its own vote. The claim is a
 * flag, so that the impersonator can't revoke it. It applies up to an incarnation, so that a member
 * may vote again after operators have restarted it. Stateless.
 */
final class ImpersonationClaim {
    /** Topic of claims, part of the wire format. */
    static final String TOPIC = "fleet/forged";

    private ImpersonationClaim() {}

    /** Creates a claim that the member's items up to an incarnation are not trustworthy. */
    static Flag flag(String member, long incarnation) {
        byte[] reason = ByteBuffer.allocate(Long.BYTES).putLong(incarnation).array();
        return new Flag(TOPIC, member, reason);
    }

    /** Returns whether a claim applies to the member's current incarnation. */
    static boolean appliesTo(MemberReplica replica) {
        Flag flag = replica.flag(TOPIC);
        return flag != null
                && (flag.reason().length != Long.BYTES
                        || ByteBuffer.wrap(flag.reason()).getLong() >= replica.incarnation());
    }
}
