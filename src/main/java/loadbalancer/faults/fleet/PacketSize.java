package loadbalancer.faults.fleet;

import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;

/**
 * About what a packet takes on the wire, without items: a measure for comparisons between fleets.
 */
final class PacketSize {
    /**
     * Version, sender, boot ID, number, MAC of 16 bytes, and a message of two numbers and a name.
     */
    private static final int BASE = 110;

    /** Incarnation, boot ID and health, apart from the text. */
    private static final int MEMBER = 24;

    private PacketSize() {}

    static int of(Packet packet) {
        int bytes = BASE;
        for (Member member : packet.updates()) {
            bytes +=
                    MEMBER
                            + member.name().length()
                            + member.address().length()
                            + member.zone().length();
        }
        return bytes;
    }
}
