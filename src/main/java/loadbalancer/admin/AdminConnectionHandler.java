package loadbalancer.admin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Handles one connection to the admin endpoint: reads one command line, writes the response and
 * closes the connection. Confined to the server's event loop. Releases the buffers that it reads.
 */
final class AdminConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final System.Logger LOG =
            System.getLogger(AdminConnectionHandler.class.getName());

    private static final int MAX_LINE_BYTES = 64;

    /** Exceeds the 4 s for which a client that sends nothing may stay connected. */
    private static final long CONNECTION_TIMEOUT_MILLIS = 4_500;

    private final AdminServer server;
    private final Channel channel;
    private final StringBuilder line = new StringBuilder();
    private boolean hasResponded;

    AdminConnectionHandler(AdminServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.connectionOpened(this);
        ctx.executor().schedule(this::close, CONNECTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection; has no effect if it is already closed. */
    void close() {
        server.connectionClosed(this);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.connectionClosed(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        while (!hasResponded && bytes.isReadable()) {
            byte character = bytes.readByte();
            if (character == '\n') {
                respondToLine();
            } else if (character != '\r' && (character < ' ' || character > '~')) {
                respond(AdminProtocol.failure("not a line of text"));
            } else if (line.length() == MAX_LINE_BYTES) {
                respond(AdminProtocol.failure("line too long"));
            } else {
                line.append((char) character);
            }
        }
    }

    private void respondToLine() {
        respond(server.response(line.toString().stripTrailing()));
    }

    /**
     * Writes the response and shuts down only the output. A full close with unread input would
     * reset the connection, and the response could be lost. The connection is closed once the
     * client has closed its side or the connection timeout has expired.
     */
    private void respond(String response) {
        hasResponded = true;
        byte[] bytes = response.getBytes(StandardCharsets.US_ASCII);
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes))
                .addListener(written -> ((DuplexChannel) channel).shutdownOutput());
    }

    /** Treats an unterminated line as the whole command after the client's FIN. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (!hasResponded && !line.isEmpty()) {
                respondToLine();
            }
            ctx.executor().execute(this::close);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "closed an admin connection after an unexpected error",
                    cause);
        }
        close();
    }
}
