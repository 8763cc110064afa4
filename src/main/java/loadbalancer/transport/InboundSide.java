package loadbalancer.transport;

import io.netty.channel.Channel;

/**
 * The side of a connection that is read, where the transport knows more of it than handlers hear.
 * To these all ends look alike: also after a reset, a failed write or a close of our own a channel
 * becomes inactive, and a codec makes a last content of that.
 */
public interface InboundSide {
    /**
     * Whether a read has met the end of the stream, behind all bytes: the FIN of the other side.
     */
    boolean hasEnded();

    /**
     * Whether nothing lies unread now: no byte, FIN or reset. What did is lost by this question,
     * and the connection with it: on no, close it.
     */
    boolean isSilent();

    /** Whether a channel has met a FIN; false where it can't tell. */
    static boolean hasEnded(Channel channel) {
        return channel instanceof InboundSide input && input.hasEnded();
    }

    /** Whether nothing lies unread on a channel; true where it can't tell. */
    static boolean isSilent(Channel channel) {
        return !(channel instanceof InboundSide input) || input.isSilent();
    }
}
