package loadbalancer.fleet.membership;

/** What {@link Swim} wants done and what it has found out; called within its own calls. */
public interface SwimOutput {
    /** A packet for that address; it may get lost. About 700 bytes of it at most are rumours. */
    void send(String address, Packet packet);

    /**
     * A member is held otherwise: {@code before} is null for a new one, {@code after} for one
     * forgotten.
     */
    void changed(Member before, Member after);

    /**
     * A sample of a member's wall clock after NTP (RFC 5905, section 8).
     *
     * @param offsetMicros its clock less ours
     * @param roundTripMicros of this sample, 0 or more: the offset is wrong by half of it at most
     */
    void timed(String member, long offsetMicros, long roundTripMicros);

    /** A line for the operators. */
    void warn(String line);

    /** A hash of the items that are shared, for {@link Body.Compare}. */
    default long items() {
        return 0;
    }
}
