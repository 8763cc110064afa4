package loadbalancer.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket for a connection that we open. */
final class OutgoingSocket extends NioSocketChannel implements InboundSide {
    private boolean ended;

    /**
     * A reset makes the read throw instead; a write that fails closes the channel with no further
     * read.
     */
    @Override
    protected int doReadBytes(ByteBuf to) throws Exception {
        int read = super.doReadBytes(to);
        ended |= read < 0;
        return read;
    }

    @Override
    public boolean hasEnded() {
        return ended;
    }

    @Override
    public boolean isSilent() {
        try {
            return javaChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false; // reset or closed
        }
    }
}
