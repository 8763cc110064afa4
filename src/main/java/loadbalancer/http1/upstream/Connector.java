package loadbalancer.http1.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.concurrent.TimeUnit;
import loadbalancer.AttemptOutcome;
import loadbalancer.transport.Transport;

/** Opens connections to endpoints. Used on the event loop only. */
final class Connector {
    private final Transport transport;
    private final ConnectionPool pool;
    private int connectTimeoutMillis;

    Connector(Transport transport, ConnectionPool pool) {
        this.transport = transport;
        this.pool = pool;
    }

    /** How long a connect may take, in microseconds; at least one millisecond. */
    void setConnectTimeout(long micros) {
        connectTimeoutMillis = (int) Math.max(1, TimeUnit.MICROSECONDS.toMillis(micros));
    }

    /** Connects for a request, which is written once the connection is established. */
    void connect(UpstreamEndpoint endpoint, RequestExchange exchange) {
        ChannelFuture connecting;
        try {
            connecting =
                    transport.connect(endpoint.address(), connectTimeoutMillis, Connector::prepare);
        } catch (ChannelException e) {
            exchange.endLater(AttemptOutcome.CONNECT_FAILED); // out of descriptors
            return;
        }
        Channel channel = connecting.channel();
        pool.countUntilClosed(channel);
        exchange.connecting(channel);
        int incarnation = endpoint.incarnation();
        connecting.addListener(
                future -> {
                    // The list may have changed meanwhile: nothing new goes to an endpoint that
                    // is draining or was replaced.
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

    /** An idle connection on a channel that is up already. */
    void adopt(UpstreamEndpoint endpoint, Channel channel) {
        prepare(channel);
        pool.release(
                new UpstreamConnection(transport, pool, endpoint, endpoint.incarnation(), channel));
    }

    private static void prepare(Channel channel) {
        channel.config().setWriteBufferWaterMark(Transport.WATER_MARK);
        channel.pipeline().addLast(new HttpRequestEncoder(), new ResponseDecoder());
    }
}
