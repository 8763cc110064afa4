package loadbalancer.faults.fleet;

import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;

/** Estimates a packet's bytes on the wire without items, to compare fleets of different sizes. */
final class PacketSize {
    /** Version, sender, boot ID, sequence number, MAC, and a message of two numbers and a name. */
    private static final int FIXED_BYTES = 110;

    /** Bytes of a member's incarnation, boot ID and health. */
    private static final int MEMBER_NUMBER_BYTES = 24;

    private PacketSize() {}

    static int estimateBytes(Packet packet) {
        int bytes = FIXED_BYTES;
        for (Member member : packet.updates()) {
            bytes +=
                    MEMBER_NUMBER_BYTES
                            + member.name().length()
                            + member.address().length()
                            + member.zone().length();
        }
        return bytes;
    }
}
