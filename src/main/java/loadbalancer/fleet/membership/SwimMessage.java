package loadbalancer.fleet.membership;

/**
 * The protocol message of a {@link Packet}, without the updates and items that are piggybacked on
 * it. Times are microseconds of the sender's wall clock; a nonce is a random number that the reply
 * repeats.
 */
public sealed interface SwimMessage {
    /** Carries only updates and items. */
    record Gossip() implements SwimMessage {}

    /** Probes a member, which replies with an {@link Ack}. */
    record Ping(long nonce, String target, long sentAtMicros) implements SwimMessage {}

    /**
     * Confirms that the target of a ping is alive. The three times allow the receiver to estimate
     * the offset of the target's clock.
     *
     * @param target the member that was probed; another member may have relayed this message
     */
    record Ack(
            long nonce,
            String target,
            long pingSentAtMicros,
            long receivedAtMicros,
            long sentAtMicros)
            implements SwimMessage {}

    /** Requests that a third member pings the target and relays its {@link Ack}. */
    record PingRequest(long nonce, String target, String targetAddress) implements SwimMessage {}

    /** States that the receiver of a {@link PingRequest} is alive, but got no ack so far. */
    record Nack(long nonce, String target) implements SwimMessage {
        /** Nonce of a message that is no response: its sender suspects the target. */
        static final long SUSPICION_NONCE = 0;
    }

    /**
     * Carries hashes of the sender's members and items for anti-entropy. A receiver with other
     * hashes replies with its own members and items, over several packets, and with its own digest
     * if that is requested.
     */
    record Digest(long nonce, long membersHash, long itemsHash, boolean replyRequested)
            implements SwimMessage {}
}
