package loadbalancer.fleet.membership;

import java.util.List;

/** A body with what is passed on about members. */
public record Packet(Body body, List<Member> rumours) {}
