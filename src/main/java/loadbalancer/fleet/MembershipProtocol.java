package loadbalancer.fleet;

import loadbalancer.fleet.membership.Membership;
import loadbalancer.fleet.membership.Packet;

/**
 * The membership protocol that a {@link Fleet} runs. Times are microseconds of the fleet's
 * monotonic clock; all calls come from its thread.
 */
public interface MembershipProtocol {
    /**
     * Handles a packet; must not throw, whatever the packet contains.
     *
     * @param fromName name of the sending member
     * @param fromAddress {@code host:port} from which the datagram came
     * @param fromBootId boot ID of the sending process
     */
    void received(
            long nowMicros, Packet packet, String fromName, String fromAddress, long fromBootId);

    /** Runs the timers that are due. */
    void wake(long nowMicros);

    /** Returns when to call {@link #wake} next, in microseconds. */
    long nextWakeMicros();

    /** Returns the members of the fleet. */
    Membership membership();
}
