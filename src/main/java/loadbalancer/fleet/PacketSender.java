package loadbalancer.fleet;

import loadbalancer.fleet.membership.Packet;

/** Sends the packets of a {@link MembershipProtocol}. Called on the fleet's thread. */
public interface PacketSender {
    /**
     * Sends a packet with as many items as fit beside it. Fills in the hash of items in a digest,
     * so that the membership protocol need not know it.
     */
    void send(String address, Packet packet);
}
