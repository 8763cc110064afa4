package loadbalancer.http1.downstream;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import loadbalancer.transport.Transport;

/** Configures the socket options and the handler pipeline of an accepted client channel. */
final class ClientChannelInitializer extends ChannelInitializer<Channel> {
    /** Netty's decoder defaults with a larger chunk size for bodies. */
    private static final HttpDecoderConfig DECODER =
            new HttpDecoderConfig().setMaxChunkSize(32 * 1024);

    /**
     * Limits how much the kernel buffers for a slow client, so that completed writes reflect how
     * far the client has read.
     */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    /** Netty's default for the number of reads in one event-loop iteration. */
    private static final int MAX_READS_PER_LOOP = 16;

    /** Reads until the kernel buffer is empty, so that a FIN right after a request is detected. */
    private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
            new AdaptiveRecvByteBufAllocator()
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS_PER_LOOP);

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

    /** Configures a channel as a client connection and adds its handlers. */
    static void prepare(ClientServer server, Channel channel) {
        ClientConnection connection = new ClientConnection(server, channel);
        channel.config().setWriteBufferWaterMark(Transport.WATER_MARK);
        channel.config().setRecvByteBufAllocator(READ_UNTIL_EMPTY);
        channel.pipeline()
                .addLast(
                        connection.inboundMonitor(),
                        new HttpServerCodec(DECODER),
                        connection.audit(),
                        connection);
    }
}
