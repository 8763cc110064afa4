package loadbalancer.fleet.codec;

import java.util.List;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.replication.Item;

/**
 * The decoded content of a datagram.
 *
 * @param sender the sending member's name
 * @param bootId of the sending process
 * @param sequenceNumber of this datagram since the start of its process, from 1; against replays
 */
public record Datagram(
        String sender, long bootId, long sequenceNumber, Packet packet, List<Item> items) {}
