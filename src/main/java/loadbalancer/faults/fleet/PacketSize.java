package loadbalancer.faults.fleet;

import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;

/**
 * About what a packet takes on the wire, without items: a measure for comparisons between fleets.
 */
final class PacketSize {
    /** Version, sender, boot, number, MAC of 16 bytes, and a body of two numbers and a name. */
    private static final int BASE = 110;

    /** Incarnation, boot and health beside the text. */
    private static final int MEMBER = 24;

    private PacketSize() {}

    static int of(Packet packet) {
        int bytes = BASE;
        for (Member member : packet.rumours()) {
            bytes +=
                    MEMBER
                            + member.name().length()
                            + member.address().length()
                            + member.zone().length();
        }
        return bytes;
    }
}
