package loadbalancer.fleet.codec;

import java.util.List;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.replication.Item;

/**
 * One datagram in the clear.
 *
 * @param from the sender's name
 * @param boot of the sending process
 * @param number of this datagram since its start, from 1: what was there before is dropped
 */
public record Datagram(String from, long boot, long number, Packet packet, List<Item> items) {}
