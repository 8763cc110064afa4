package loadbalancer.http1.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.HttpObject;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import loadbalancer.AttemptOutcome;
import loadbalancer.transport.InboundSide;
import loadbalancer.transport.Transport;

/** A connection that is up. It carries one request at a time. */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final System.Logger LOG = System.getLogger(UpstreamConnection.class.getName());

    /**
     * So long a connection rests behind a large answer: a second copy of that comes a round trip
     * later.
     */
    private static final long REST_MS = 5;

    /** How often at most it is looked whether a large answer still goes on. */
    private static final long LOOK_MS = 250;

    private final Transport transport;
    private final ConnectionPool pool;
    private final UpstreamEndpoint server;
    private final int incarnation;
    private final Channel channel;
    private final ResponseDecoder decoder;

    /** The answer to the request that is out; null if there is none. */
    private ResponseReader answer;

    private long idleSince;

    UpstreamConnection(
            Transport transport,
            ConnectionPool pool,
            UpstreamEndpoint server,
            int incarnation,
            Channel channel) {
        this.transport = transport;
        this.pool = pool;
        this.server = server;
        this.incarnation = incarnation;
        this.channel = channel;
        this.decoder = channel.pipeline().get(ResponseDecoder.class);
        this.idleSince = transport.nanoTime();
        channel.pipeline().addLast(this);
    }

    Channel channel() {
        return channel;
    }

    UpstreamEndpoint server() {
        return server;
    }

    // ---- Between requests
    // ----------------------------------------------------------------------------

    /** Since when it carries nothing; nanoseconds. */
    long idleSince() {
        return idleSince;
    }

    /** Whether the next request may go on it as far as is known here. */
    boolean isOfUse() {
        return channel.isActive() && server.takes(incarnation) && !decoder.surplus();
    }

    /**
     * Whether it can be taken from among the idle ones. What lies unread in the kernel would be
     * taken for the answer, or the request meets a dead end.
     */
    boolean isFresh(long now, long idleNanos) {
        return channel.isActive() && now - idleSince < idleNanos && InboundSide.isSilent(channel);
    }

    /** It is among the idle ones from now on, and hears what comes. */
    void rests() {
        channel.config().setAutoRead(true);
    }

    /** It carries nothing: kept if it is of use, or closed. */
    void release() {
        pool.release(this);
    }

    void close() {
        channel.close();
    }

    // ---- With a request
    // ------------------------------------------------------------------------------

    /** That request goes out on it now. */
    void carry(RequestExchange exchange) {
        answer = new ResponseReader(transport, channel, exchange);
        decoder.expect();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (answer == null || answer.state() == ResponseReader.State.WHOLE) {
            return; // Surplus: the decoder has noticed, and the end of this read closes the
            // connection.
        }
        ResponseReader.State before = answer.state();
        switch (answer.read(part)) {
            case AWAITED -> {}
            case HELD -> decoder.begun();
            case STREAMED -> {
                decoder.begun();
                if (before != ResponseReader.State.STREAMED) {
                    lookLater(answer, answer.patienceMs());
                }
            }
            case WHOLE -> decoder.whole();
            case UNWANTED -> breakOff(AttemptOutcome.CANCELLED);
            default -> breakOff(answer.exchange().lost()); // spoilt
        }
    }

    private void lookLater(ResponseReader passed, long millis) {
        transport.loop().schedule(() -> look(passed), millis, TimeUnit.MILLISECONDS);
    }

    private void look(ResponseReader passed) {
        long left = passed.patienceMs();
        if (answer == passed && left <= 0) {
            breakOff(passed.exchange().lost());
        } else if (answer == passed) {
            lookLater(passed, Math.max(left, LOOK_MS));
        }
    }

    /** The exchange ends without a whole answer, and with it the connection. */
    private void breakOff(AttemptOutcome outcome) {
        ResponseReader broken = answer;
        answer = null;
        close();
        broken.breakOff(outcome);
    }

    /** Only now is it known what has come right behind an answer. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (answer != null && answer.state() == ResponseReader.State.WHOLE) {
            finish();
        } else if (decoder.surplus()) {
            close();
        }
    }

    private void finish() {
        ResponseReader whole = answer;
        answer = null;
        idleSince = transport.nanoTime();
        if (!whole.exchange().isWritten() || !whole.keepsConnection() || !isOfUse()) {
            close();
        } else if (whole.isPassedOn()) {
            transport.loop().schedule(this::release, REST_MS, TimeUnit.MILLISECONDS);
        } else {
            release();
        }
        whole.finish();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (answer != null) {
            answer.exchange().drained();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.remove(this);
        if (answer == null) {
            return;
        }
        if (answer.state() == ResponseReader.State.WHOLE) {
            finish();
        } else if (answer.isPassedOn()) {
            breakOff(answer.exchange().lost());
        } else {
            answer.exchange().broken();
            answer = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof CodecException)) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "closed an upstream's connection after a failure",
                    cause);
        }
        close();
    }
}
