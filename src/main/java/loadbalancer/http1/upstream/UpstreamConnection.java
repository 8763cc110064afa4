package loadbalancer.http1.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.HttpObject;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import loadbalancer.AttemptOutcome;
import loadbalancer.proxy.UpstreamTransport;
import loadbalancer.transport.InboundSide;
import loadbalancer.transport.Transport;

/**
 * An established connection to an endpoint, until its close. It carries one request at a time and
 * is released to the pool after each one. Used on the event loop only.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final System.Logger LOG = System.getLogger(UpstreamConnection.class.getName());

    /**
     * Delay before reuse after a streamed response. A duplicate of that response would arrive one
     * round trip later and is detected during the delay.
     */
    private static final long REUSE_DELAY_MILLIS = 5;

    /** Time after its head for which a response of unknown length is held back. */
    private static final long MAX_BUFFERING_MILLIS = 500;

    /** Time after the client's deadline up to which a short response still reaches the client. */
    private static final long LATE_RESPONSE_MILLIS = 300;

    /** Minimum interval between two checks for a stalled response. */
    private static final long STALL_CHECK_INTERVAL_MILLIS = 250;

    private final Transport transport;
    private final ConnectionPool pool;
    private final UpstreamEndpoint endpoint;
    private final int incarnation;
    private final Channel channel;
    private final ResponseDecoder decoder;

    /** Reads the response to the request in flight; null if no request is in flight. */
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

    /** Returns the monotonic time since which the connection has been idle. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Whether the next request may use the connection; does not check the socket. */
    boolean isUsable() {
        return channel.isActive() && endpoint.accepts(incarnation) && !decoder.hasSurplusBytes();
    }

    /**
     * Whether an idle connection can be reused for a request; checks the socket. Bytes that are
     * unread in the kernel would be read as the response, and with an unread FIN the request would
     * be lost.
     */
    boolean isReusable(long nowNanos, long idleTimeoutNanos) {
        return channel.isActive()
                && nowNanos - idleSinceNanos < idleTimeoutNanos
                && InboundSide.hasNothingToRead(channel);
    }

    /** Enables reading, so that a close or surplus bytes are detected while idle. */
    void becomeIdle() {
        channel.config().setAutoRead(true);
    }

    /** Releases the connection to the pool, which keeps or closes it. */
    void release() {
        pool.release(this);
    }

    void close() {
        channel.close();
    }

    // With a request

    /** Expects the response to a request that is about to be written. */
    void begin(RequestExchange exchange) {
        response = new ResponseReader(transport, channel, exchange);
        decoder.expectResponse();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (response == null || response.state() == ResponseReader.State.COMPLETE) {
            return; // surplus bytes, detected by the decoder; channelReadComplete closes
        }
        ResponseReader.State before = response.state();
        switch (response.read(part)) {
            case AWAITING_HEAD -> {}
            case BUFFERED -> {
                decoder.responseHeadReceived();
                if (before == ResponseReader.State.AWAITING_HEAD && response.mayBeLong()) {
                    scheduleStreaming(response);
                }
            }
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

    /** Starts to stream a response that is not complete by then, well before its deadline. */
    private void scheduleStreaming(ResponseReader expected) {
        long timeLeftMillis = expected.exchange().listener().timeLeftMillis();
        if (timeLeftMillis == UpstreamTransport.Listener.NOT_ANNOUNCED) {
            return;
        }
        schedule(
                Math.min(MAX_BUFFERING_MILLIS, timeLeftMillis / 2),
                () -> streamIfIncomplete(expected));
        schedule(timeLeftMillis + LATE_RESPONSE_MILLIS, () -> endIfShort(expected));
    }

    private void schedule(long delayMillis, Runnable task) {
        transport.loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void streamIfIncomplete(ResponseReader expected) {
        if (response != expected || !expected.mayBeLong()) {
            return;
        }
        switch (expected.treatAsLong()) {
            case STREAMING -> scheduleStallCheck(expected, expected.stallTimeoutLeftMillis());
            case UNWANTED -> abort(AttemptOutcome.CANCELLED);
            default -> {}
        }
    }

    /**
     * Ends a response that turns out to be a short one and is late, so that its client does not
     * wait any longer.
     */
    private void endIfShort(ResponseReader expected) {
        if (response == expected && expected.isShortSoFar()) {
            abort(expected.exchange().outcomeOfConnectionLoss());
        }
    }

    private void scheduleStallCheck(ResponseReader expected, long millis) {
        schedule(millis, () -> checkStall(expected));
    }

    private void checkStall(ResponseReader expected) {
        long left = expected.stallTimeoutLeftMillis();
        if (response == expected && left <= 0) {
            abort(expected.exchange().outcomeOfConnectionLoss());
        } else if (response == expected) {
            scheduleStallCheck(expected, Math.max(left, STALL_CHECK_INTERVAL_MILLIS));
        }
    }

    /** Closes the connection and ends the exchange without a complete response. */
    private void abort(AttemptOutcome outcome) {
        ResponseReader incomplete = response;
        LOG.log(
                System.Logger.Level.DEBUG,
                () ->
                        "connection to "
                                + channel.remoteAddress()
                                + " closed within a response, state "
                                + incomplete.state()
                                + ": "
                                + outcome);
        response = null;
        close();
        incomplete.abort(outcome);
    }

    /** Completes the response here, after any surplus bytes of the same read were detected. */
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
            transport.loop().schedule(this::release, REUSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            release();
        }
        completed.complete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (response != null) {
            response.exchange().writabilityChanged();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.remove(this);
        decoder.closeHeaders();
        if (response == null) {
            return;
        }
        if (response.state() == ResponseReader.State.COMPLETE) {
            complete();
        } else if (response.isStreaming()) {
            abort(response.exchange().outcomeOfConnectionLoss());
        } else {
            response.connectionLost();
            response = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof CodecException)) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "closed an upstream connection after an unexpected exception",
                    cause);
        }
        close();
    }
}
