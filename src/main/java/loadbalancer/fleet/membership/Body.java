package loadbalancer.fleet.membership;

/**
 * What a datagram is about, beside the rumours and items that it carries along. Times are
 * microseconds of the sender's wall clock; a nonce is drawn at random and comes back in the answer.
 */
public sealed interface Body {
    /** Carries rumours and items only. */
    record Gossip() implements Body {}

    /** Asks a member whether it is there. */
    record Ping(long nonce, String target, long sentAt) implements Body {}

    /**
     * Yes. {@code about} is who was asked for; the times allow for an estimate of the clocks'
     * offset.
     */
    record Ack(long nonce, String about, long pingSentAt, long receivedAt, long sentAt)
            implements Body {}

    /** Asks a third to ping the target and to pass its answer on. */
    record PingRequest(long nonce, String target, String address) implements Body {}

    /** The third got no answer so far, but is there itself. */
    record Nack(long nonce, String about) implements Body {}

    /**
     * Compares the whole: hashes of all that is known. Who holds something else answers with what
     * it has, a part at a time, and with its own hashes if {@code reply} asks for them.
     */
    record Compare(long nonce, long members, long items, boolean reply) implements Body {}
}
