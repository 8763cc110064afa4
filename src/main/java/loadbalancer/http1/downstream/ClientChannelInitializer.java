package loadbalancer.http1.downstream;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import loadbalancer.transport.Transport;

/** Sets the options and the pipeline of an accepted client channel. */
final class ClientChannelInitializer extends ChannelInitializer<Channel> {
    /** Netty's defaults, except that bodies are read in larger chunks. */
    private static final HttpDecoderConfig DECODER =
            new HttpDecoderConfig().setMaxChunkSize(32 * 1024);

    /** Bounds what the kernel buffers for a slow client, so that its progress can be seen. */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    /** Netty's own default for the reads of one turn. */
    private static final int MAX_READS_PER_TURN = 16;

    /** Reads until the kernel has no more, so that a FIN right behind a request is noticed. */
    private static final RecvByteBufAllocator READ_TO_END =
            new AdaptiveRecvByteBufAllocator()
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS_PER_TURN);

    private final ClientServer server;

    ClientChannelInitializer(ClientServer server) {
        this.server = server;
    }

    @Override
    protected void initChannel(Channel channel) {
        if (channel.config() instanceof SocketChannelConfig socket) {
            socket.setTcpNoDelay(true).setSendBufferSize(SEND_BUFFER_BYTES);
        }
        prepare(server, channel);
    }

    /** Makes a channel one to a client. */
    static void prepare(ClientServer server, Channel channel) {
        ClientConnection connection = new ClientConnection(server, channel);
        channel.config().setWriteBufferWaterMark(Transport.WATER_MARK);
        channel.config().setRecvByteBufAllocator(READ_TO_END);
        channel.pipeline()
                .addLast(
                        connection.inboundMonitor(),
                        new HttpServerCodec(DECODER),
                        connection.audit(),
                        connection);
    }
}
