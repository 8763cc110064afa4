package loadbalancer.fleet.membership;

/** Receives the output of {@link Swim}: packets and notifications, on the thread of its caller. */
public interface SwimOutput {
    /** Sends a packet to {@code host:port}, without a guarantee of delivery. */
    void send(String address, Packet packet);

    /**
     * Called when a member's state has changed.
     *
     * @param before the previous statement, null for a new member
     * @param after the current statement, null for a forgotten member
     */
    void memberChanged(Member before, Member after);

    /**
     * Called with a sample of a member's wall clock as in NTP (RFC 5905, section 8).
     *
     * @param offsetMicros the member's clock minus the local one
     * @param roundTripMicros round-trip time of this sample, 0 or more; the error of the offset is
     *     at most half of it
     */
    void clockSampled(String member, long offsetMicros, long roundTripMicros);

    /** Logs a one-line warning for operators. */
    void warn(String line);

    /** Returns a hash of the replicated items, for {@link SwimMessage.Digest}. */
    default long itemsHash() {
        return 0;
    }
}
