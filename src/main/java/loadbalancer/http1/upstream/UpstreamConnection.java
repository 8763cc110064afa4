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

/**
 * An established connection to an endpoint, from connect to close. It carries one request at a time
 * and goes back to the pool after each. Used on the event loop only.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final System.Logger LOG = System.getLogger(UpstreamConnection.class.getName());

    /** Pause behind a streamed response: a duplicate of it would arrive a round trip later. */
    private static final long SETTLE_MILLIS = 5;

    /** Least time between two checks of whether a streamed response still makes progress. */
    private static final long STALL_CHECK_INTERVAL_MILLIS = 250;

    private final Transport transport;
    private final ConnectionPool pool;
    private final UpstreamEndpoint endpoint;
    private final int incarnation;
    private final Channel channel;
    private final ResponseDecoder decoder;

    /** The response to the request in flight; null if there is none. */
    private ResponseReader response;

    private long idleSinceNanos;

    UpstreamConnection(
            Transport transport,
            ConnectionPool pool,
            UpstreamEndpoint endpoint,
            int incarnation,
            Channel channel) {
        this.transport = transport;
        this.pool = pool;
        this.endpoint = endpoint;
        this.incarnation = incarnation;
        this.channel = channel;
        this.decoder = channel.pipeline().get(ResponseDecoder.class);
        this.idleSinceNanos = transport.nanoTime();
        channel.pipeline().addLast(this);
    }

    Channel channel() {
        return channel;
    }

    UpstreamEndpoint endpoint() {
        return endpoint;
    }

    // Between requests

    /** Since when it carries nothing, in monotonic nanoseconds. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Whether the next request may use it, as far as is known without asking the kernel. */
    boolean isUsable() {
        return channel.isActive() && endpoint.accepts(incarnation) && !decoder.hasSurplusBytes();
    }

    /**
     * Whether an idle connection can carry a request. Bytes that lie unread in the kernel would be
     * taken for the response, and an unread FIN would lose the request.
     */
    boolean isFresh(long nowNanos, long idleTimeoutNanos) {
        return channel.isActive()
                && nowNanos - idleSinceNanos < idleTimeoutNanos
                && InboundSide.isSilent(channel);
    }

    /** Reads from now on, so that a close or stray bytes are noticed while it is idle. */
    void becomeIdle() {
        channel.config().setAutoRead(true);
    }

    /** Gives it back to the pool, which keeps or closes it. */
    void release() {
        pool.release(this);
    }

    void close() {
        channel.close();
    }

    // With a request

    /** Expects the response to a request that is written next. */
    void begin(RequestExchange exchange) {
        response = new ResponseReader(transport, channel, exchange);
        decoder.expectResponse();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (response == null || response.state() == ResponseReader.State.COMPLETE) {
            return; // surplus, which the decoder has noticed: the end of this read closes
        }
        ResponseReader.State before = response.state();
        switch (response.read(part)) {
            case AWAITING_HEAD -> {}
            case BUFFERED -> decoder.responseHeadReceived();
            case STREAMING -> {
                decoder.responseHeadReceived();
                if (before != ResponseReader.State.STREAMING) {
                    scheduleStallCheck(response, response.stallTimeoutLeftMillis());
                }
            }
            case COMPLETE -> decoder.responseCompleted();
            case UNWANTED -> abort(AttemptOutcome.CANCELLED);
            default -> abort(response.exchange().outcomeOfConnectionLoss());
        }
    }

    private void scheduleStallCheck(ResponseReader expected, long millis) {
        transport.loop().schedule(() -> checkStall(expected), millis, TimeUnit.MILLISECONDS);
    }

    private void checkStall(ResponseReader expected) {
        long left = expected.stallTimeoutLeftMillis();
        if (response == expected && left <= 0) {
            abort(expected.exchange().outcomeOfConnectionLoss());
        } else if (response == expected) {
            scheduleStallCheck(expected, Math.max(left, STALL_CHECK_INTERVAL_MILLIS));
        }
    }

    /** Ends the exchange without a complete response, and the connection with it. */
    private void abort(AttemptOutcome outcome) {
        ResponseReader broken = response;
        response = null;
        close();
        broken.abort(outcome);
    }

    /** Only now is it known what has arrived right behind a response. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (response != null && response.state() == ResponseReader.State.COMPLETE) {
            complete();
        } else if (decoder.hasSurplusBytes()) {
            close();
        }
    }

    private void complete() {
        ResponseReader completed = response;
        response = null;
        idleSinceNanos = transport.nanoTime();
        if (!completed.exchange().isWritten() || !completed.keepsAlive() || !isUsable()) {
            close();
        } else if (completed.isStreaming()) {
            transport.loop().schedule(this::release, SETTLE_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            release();
        }
        completed.complete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (response != null) {
            response.exchange().becameWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.remove(this);
        if (response == null) {
            return;
        }
        if (response.state() == ResponseReader.State.COMPLETE) {
            complete();
        } else if (response.isStreaming()) {
            abort(response.exchange().outcomeOfConnectionLoss());
        } else {
            response.exchange().connectionLost();
            response = null;
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
