package loadbalancer.fleet.membership;

/**
 * The protocol message of a {@link Packet}, apart from the updates and items that are piggybacked
 * on it. Times are microseconds of the sender's wall clock; a nonce is drawn at random and returned
 * in the reply.
 */
public sealed interface SwimMessage {
    /** Carries updates and items only. */
    record Gossip() implements SwimMessage {}

    /** Probes a member, which replies with an {@link Ack}. */
    record Ping(long nonce, String target, long sentAtMicros) implements SwimMessage {}

    /**
     * The target of a ping is alive. The three times allow an estimate of the clocks' offset.
     *
     * @param target the member that was probed; another one may have relayed this
     */
    record Ack(
            long nonce,
            String target,
            long pingSentAtMicros,
            long receivedAtMicros,
            long sentAtMicros)
            implements SwimMessage {}

    /** Asks a third member to ping the target and to relay its {@link Ack}. */
    record PingRequest(long nonce, String target, String targetAddress) implements SwimMessage {}

    /** The member that was asked to ping the target is alive, but has no ack so far. */
    record Nack(long nonce, String target) implements SwimMessage {
        /** Nonce of a message that answers no request: its sender suspects the target. */
        static final long SUSPICION_NONCE = 0;
    }

    /**
     * Anti-entropy: hashes of all that the sender holds. A receiver that holds something else
     * replies with what it has, over several packets, and with its own digest if that is requested.
     */
    record Digest(long nonce, long membersHash, long itemsHash, boolean replyRequested)
            implements SwimMessage {}
}
