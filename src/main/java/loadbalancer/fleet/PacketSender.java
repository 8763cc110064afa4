package loadbalancer.fleet;

import loadbalancer.fleet.membership.Packet;

/** Where a {@link Gossiper}'s packets go out. */
public interface PacketSender {
    /**
     * Sends a packet, with as many items as fit beside it. The hash of items in a comparison is
     * filled in here, so that whoever compares need not know it.
     */
    void send(long now, String address, Packet packet);
}
