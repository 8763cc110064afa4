package loadbalancer.http1.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.concurrent.TimeUnit;
import loadbalancer.AttemptOutcome;
import loadbalancer.transport.Transport;

/** Opens connections to upstreams. */
final class Connector {
    private final Transport transport;
    private final ConnectionPool pool;
    private int timeoutMs;

    Connector(Transport transport, ConnectionPool pool) {
        this.transport = transport;
        this.pool = pool;
    }

    /** So long a connection may take to come up; microseconds, at least one millisecond. */
    void timeout(long micros) {
        timeoutMs = (int) Math.max(1, TimeUnit.MICROSECONDS.toMillis(micros));
    }

    /** Dials for a request, which goes out once the connection is up. */
    void dial(UpstreamEndpoint server, RequestExchange exchange) {
        ChannelFuture connecting;
        try {
            connecting = transport.connect(server.addr(), timeoutMs, Connector::prepare);
        } catch (ChannelException e) {
            exchange.endLater(AttemptOutcome.CONNECT_FAILED); // out of descriptors
            return;
        }
        Channel channel = connecting.channel();
        pool.opened(channel);
        exchange.dialled(channel);
        int incarnation = server.incarnation();
        connecting.addListener(
                f -> {
                    // The list may have changed meanwhile: nothing new goes to an upstream that
                    // drains or has moved.
                    if (f.isSuccess() && !exchange.isEnded() && server.takes(incarnation)) {
                        exchange.begin(
                                new UpstreamConnection(
                                        transport, pool, server, incarnation, channel));
                    } else {
                        channel.close();
                        exchange.end(AttemptOutcome.CONNECT_FAILED, null);
                    }
                });
    }

    /** An idle connection on a channel that is up already. */
    void adopt(UpstreamEndpoint server, Channel channel) {
        prepare(channel);
        pool.release(
                new UpstreamConnection(transport, pool, server, server.incarnation(), channel));
    }

    private static void prepare(Channel channel) {
        channel.config().setWriteBufferWaterMark(Transport.WATER_MARK);
        channel.pipeline().addLast(new HttpRequestEncoder(), new ResponseDecoder());
    }
}
