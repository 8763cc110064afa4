package yewyoke.transport;

import io.netty.channel.Channel;

/**
 * A connection that tells a FIN from every other end. To handlers all ends look alike: also after a reset, a
 * failed write or a close of our own a channel becomes inactive, and a codec makes a last content of that.
 */
public interface EndOfStream {
    /** Whether a read has met the end of the stream, behind all bytes: the FIN of the other side. */
    boolean hasEnded();

    /** The same for any channel; false where it can't tell. */
    static boolean of(Channel channel) {
        return channel instanceof EndOfStream stream && stream.hasEnded();
    }
}
