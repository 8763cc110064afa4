package loadbalancer.fleet.membership;

import java.util.List;

/** A message with the member updates that are piggybacked on it. */
public record Packet(SwimMessage message, List<Member> updates) {}
