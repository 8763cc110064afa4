package loadbalancer.fleet;

import loadbalancer.fleet.membership.Membership;
import loadbalancer.fleet.membership.Packet;

/**
 * The membership protocol that a {@link Fleet} runs. Times are microseconds of the fleet's
 * monotonic clock; all calls come from its thread.
 */
public interface MembershipProtocol {
    /** Handles a packet from the member of that name, address and process. Must not fail. */
    void received(
            long nowMicros, Packet packet, String fromName, String fromAddress, long fromBootId);

    /** Does what is due. */
    void wake(long nowMicros);

    /** When {@link #wake} is wanted next, in microseconds. */
    long nextWakeMicros();

    /** The members of the fleet. */
    Membership membership();
}
