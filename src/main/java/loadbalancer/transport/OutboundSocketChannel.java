package loadbalancer.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The socket channel of an outbound connection. Used on its event loop; closing it releases the
 * descriptor.
 */
final class OutboundSocketChannel extends NioSocketChannel implements InboundSide {
    private boolean hasEnded;

    /**
     * Records the end of the stream. After a reset the read throws instead, and a failed write
     * closes the channel without a further read.
     */
    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        int readBytes = super.doReadBytes(buffer);
        hasEnded |= readBytes < 0;
        return readBytes;
    }

    @Override
    public boolean hasEnded() {
        return hasEnded;
    }

    @Override
    public boolean hasNothingToRead() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false; // reset or closed
        }
    }
}
