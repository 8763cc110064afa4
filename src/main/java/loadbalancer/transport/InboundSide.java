package loadbalancer.transport;

import io.netty.channel.Channel;

/**
 * The inbound side of a connection. It distinguishes the ends of a stream that look alike to
 * Netty's handlers: a channel becomes inactive after a reset, a failed write or a local close just
 * as after a FIN, and an HTTP codec then reports the last content in all cases. Used on the
 * channel's event loop.
 */
public interface InboundSide {
    /** Returns whether the end of the stream, which is the peer's FIN, was read after all bytes. */
    boolean hasEnded();

    /** Returns whether a channel has received a FIN; false if it does not implement this type. */
    static boolean hasEnded(Channel channel) {
        return channel instanceof InboundSide input && input.hasEnded();
    }

    /**
     * Returns whether no byte, FIN or reset waits to be read. The check consumes an unread byte, so
     * the caller must close the connection if this returns false.
     */
    boolean hasNothingToRead();

    /**
     * Returns whether no byte, FIN or reset waits to be read on a channel, see {@link
     * #hasNothingToRead()}; true if the channel does not implement this type.
     */
    static boolean hasNothingToRead(Channel channel) {
        return !(channel instanceof InboundSide input) || input.hasNothingToRead();
    }
}
