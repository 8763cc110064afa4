package loadbalancer.fleet;

import loadbalancer.fleet.membership.Packet;

/** Sends the packets of a {@link MembershipProtocol}. Called on the fleet's thread. */
public interface PacketSender {
    /**
     * Sends a packet with as many items as fit into the same datagram. Sets the items' hash in a
     * digest, so that the membership protocol need not know the items.
     *
     * @param address the receiver's {@code host:port}
     */
    void send(String address, Packet packet);
}
