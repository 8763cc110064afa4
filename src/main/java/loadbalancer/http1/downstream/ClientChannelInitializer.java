package loadbalancer.http1.downstream;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import loadbalancer.http1.codec.ContentMerger;
import loadbalancer.transport.Transport;

/** Configures the socket options and the handler pipeline of an accepted client channel. */
final class ClientChannelInitializer extends ChannelInitializer<Channel> {
    /** Larger than Netty's default. */
    private static final int MAX_CHUNK_BYTES = 32 * 1024;

    /**
     * Limits how much the kernel buffers for a slow client, so that completed writes reflect how
     * far the client has read.
     */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    /** Limits how much the kernel holds of an upload that no endpoint takes. */
    private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

    /**
     * Number of reads of a connection in one event-loop iteration. Others wait for as long as it
     * takes to decode what these bring, which in chunks of one byte is thousands of parts.
     */
    private static final int MAX_READS_PER_LOOP = 3;

    // Sizes of a read, adapted to how much arrives. A message that has arrived in part may hold a
    // whole read buffer, and each connection may hold one.
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;

    /** Reads until the kernel buffer is empty, so that a FIN right after a request is detected. */
    private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS_PER_LOOP);

    private final ClientServer server;

    ClientChannelInitializer(ClientServer server) {
        this.server = server;
    }

    @Override
    protected void initChannel(Channel channel) {
        if (channel.config() instanceof SocketChannelConfig socket) {
            socket.setTcpNoDelay(true)
                    .setSendBufferSize(SEND_BUFFER_BYTES)
                    .setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        }
        prepare(server, channel);
    }

    /** Configures a channel as a client connection and adds its handlers. */
    static void prepare(ClientServer server, Channel channel) {
        ClientConnection connection = new ClientConnection(server, channel);
        channel.config().setWriteBufferWaterMark(Transport.WATER_MARK);
        channel.config().setRecvByteBufAllocator(READ_UNTIL_EMPTY);
        HttpDecoderConfig decoder =
                connection.headers().decoderConfig().setMaxChunkSize(MAX_CHUNK_BYTES);
        channel.pipeline()
                .addLast(
                        connection.inboundMonitor(),
                        new HttpServerCodec(decoder),
                        new ContentMerger(connection.inboundMonitor()::smallPartsRead),
                        connection.audit(),
                        connection);
    }
}
