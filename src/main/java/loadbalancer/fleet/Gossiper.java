package loadbalancer.fleet;

import loadbalancer.fleet.membership.Membership;
import loadbalancer.fleet.membership.Packet;

/** What the fleet needs of who keeps the membership. Times are microseconds. */
public interface Gossiper {
    /** A packet came in: from the member of that name, process and address. Must not fail. */
    void received(long now, Packet packet, String from, String address, long boot);

    /** Does what is due. */
    void wake(long now);

    /** When {@link #wake} wants to be called next. */
    long nextWake();

    /** Who belongs to the fleet. */
    Membership membership();
}
