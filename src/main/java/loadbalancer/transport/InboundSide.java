package loadbalancer.transport;

import io.netty.channel.Channel;

/**
 * The inbound side of a connection, where the transport knows more than Netty's handlers are
 * notified of: after a reset, a failed write or a local close a channel becomes inactive just as
 * after a FIN, and a codec makes a last content of that. For the channel's event loop only.
 */
public interface InboundSide {
    /** Whether a read has reached the end of the stream, after all bytes: the peer's FIN. */
    boolean hasEnded();

    /** Whether a channel has received a FIN; false where the channel can't tell. */
    static boolean hasEnded(Channel channel) {
        return channel instanceof InboundSide input && input.hasEnded();
    }

    /**
     * Whether nothing is unread now: no byte, FIN or reset. An unread byte is consumed and lost, so
     * close the connection where this is false.
     */
    boolean isSilent();

    /** Whether nothing is unread on a channel; true where the channel can't tell. */
    static boolean isSilent(Channel channel) {
        return !(channel instanceof InboundSide input) || input.isSilent();
    }
}
