package loadbalancer.http1.upstream;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.concurrent.TimeUnit;
import loadbalancer.AttemptOutcome;
import loadbalancer.http1.codec.ContentMerger;
import loadbalancer.transport.Transport;

/** Opens connections to endpoints. Used on the event loop only. */
final class Connector {
    // Sizes of a read, adapted to how much arrives. Under memory pressure, each streamed response
    // may still hold one read buffer that its client has not taken.
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 32 * 1024;

    /** Number of reads of a connection in one event-loop iteration, for which others wait. */
    private static final int MAX_READS_PER_LOOP = 2;

    private static final RecvByteBufAllocator READ_SIZES =
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                    .maxMessagesPerRead(MAX_READS_PER_LOOP);

    /** Limits how much of an upload the kernel holds for an endpoint that does not read it. */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    private final Transport transport;
    private final ConnectionPool pool;
    private int connectTimeoutMillis;

    Connector(Transport transport, ConnectionPool pool) {
        this.transport = transport;
        this.pool = pool;
    }

    /**
     * Sets the connect timeout in microseconds; it is rounded down to whole milliseconds, at least
     * 1.
     */
    void setConnectTimeout(long micros) {
        connectTimeoutMillis = (int) Math.max(1, TimeUnit.MICROSECONDS.toMillis(micros));
    }

    /** Opens a connection for a request, which is written once the connection is established. */
    void connect(UpstreamEndpoint endpoint, RequestExchange exchange) {
        ChannelFuture connecting;
        try {
            connecting = transport.connect(endpoint.address(), connectTimeoutMillis, this::prepare);
        } catch (ChannelException e) {
            exchange.endLater(AttemptOutcome.CONNECT_FAILED); // no file descriptor for a socket
            return;
        }
        Channel channel = connecting.channel();
        pool.countUntilClosed(channel);
        exchange.connecting(channel);
        int incarnation = endpoint.incarnation();
        connecting.addListener(
                future -> {
                    // The endpoint list may have changed during the connect: an endpoint that is
                    // draining or was replaced gets no new request.
                    if (future.isSuccess()
                            && !exchange.isEnded()
                            && endpoint.accepts(incarnation)) {
                        exchange.begin(
                                new UpstreamConnection(
                                        transport, pool, endpoint, incarnation, channel));
                    } else {
                        channel.close();
                        exchange.endWith(AttemptOutcome.CONNECT_FAILED, null);
                    }
                });
    }

    /** Adds a channel that is already connected to the pool as an idle connection. */
    void adopt(UpstreamEndpoint endpoint, Channel channel) {
        prepare(channel);
        pool.release(
                new UpstreamConnection(transport, pool, endpoint, endpoint.incarnation(), channel));
    }

    private void prepare(Channel channel) {
        if (channel.config() instanceof SocketChannelConfig socket) {
            socket.setSendBufferSize(SEND_BUFFER_BYTES);
        }
        channel.config().setWriteBufferWaterMark(Transport.WATER_MARK);
        channel.config().setRecvByteBufAllocator(READ_SIZES);
        channel.pipeline()
                .addLast(
                        new HttpRequestEncoder(),
                        new ResponseDecoder(transport.memoryQuota()),
                        new ContentMerger());
    }
}
