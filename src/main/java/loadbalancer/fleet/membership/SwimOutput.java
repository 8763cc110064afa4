package loadbalancer.fleet.membership;

/** The effects of {@link Swim}: outgoing packets and notifications, called within its calls. */
public interface SwimOutput {
    /** Sends a packet to {@code host:port}; it may get lost. */
    void send(String address, Packet packet);

    /**
     * A member's state has changed.
     *
     * @param before null for a new member
     * @param after null for a forgotten one
     */
    void memberChanged(Member before, Member after);

    /**
     * A sample of a member's wall clock as in NTP (RFC 5905, section 8).
     *
     * @param offsetMicros its clock minus ours
     * @param roundTripMicros of this sample, 0 or more: the offset is wrong by at most half of it
     */
    void clockSampled(String member, long offsetMicros, long roundTripMicros);

    /** Logs a warning of one line for the operators. */
    void warn(String line);

    /** A hash of the replicated items, for {@link SwimMessage.Digest}. */
    default long itemsHash() {
        return 0;
    }
}
