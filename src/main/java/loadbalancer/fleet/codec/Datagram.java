package loadbalancer.fleet.codec;

import java.util.List;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.replication.Item;

/**
 * The decoded content of a datagram.
 *
 * @param sender name of the sending member
 * @param bootId boot ID of the sending process
 * @param sequenceNumber number of this datagram since the start of its process, from 1; detects
 *     replays
 * @param packet the membership message with its updates
 * @param items replicated items, may be empty
 */
public record Datagram(
        String sender, long bootId, long sequenceNumber, Packet packet, List<Item> items) {}
