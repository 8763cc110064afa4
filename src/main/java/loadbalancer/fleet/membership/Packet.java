package loadbalancer.fleet.membership;

import java.util.List;

/** A message with the updates about members that are piggybacked on it. */
public record Packet(SwimMessage message, List<Member> updates) {}
