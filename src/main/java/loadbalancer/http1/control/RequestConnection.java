package loadbalancer.http1.control;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.transport.Transport;

/**
 * Makes one call at a time to one server, on a connection that is kept alive between calls until
 * its idle timeout. Used on the event loop only.
 */
final class RequestConnection {
    /** Shorter than the server's idle timeout, so that the server rarely closes during a call. */
    private static final long IDLE_TIMEOUT_MILLIS = 10_000;

    private final Transport transport;
    private final InetSocketAddress server;
    private final long responseTimeoutMillis;
    private Channel channel;
    private CompletableFuture<CallResponse> pending;
    private ScheduledFuture<?> timeout;

    RequestConnection(Transport transport, InetSocketAddress server, long responseTimeoutMillis) {
        this.transport = transport;
        this.server = server;
        this.responseTimeoutMillis = responseTimeoutMillis;
    }

    InetSocketAddress server() {
        return server;
    }

    /** Whether a call is pending. */
    boolean isBusy() {
        return pending != null;
    }

    /**
     * Makes a call. The future completes on the event loop, after this method has returned.
     *
     * @throws IllegalStateException if a call is pending
     */
    CompletableFuture<CallResponse> send(HttpMethod method, String path, byte[] body) {
        if (pending != null) {
            throw new IllegalStateException("another call is pending on this connection");
        }
        CompletableFuture<CallResponse> response = new CompletableFuture<>();
        pending = response;
        restartTimeout(responseTimeoutMillis);
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers()
                .set(HttpHeaderNames.HOST, ControlProtocol.host(server))
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (channel != null && channel.isActive()) {
            write(request);
        } else {
            connect(request);
        }
        return response;
    }

    /** Closes the connection; a pending call fails. */
    void close() {
        if (channel != null) {
            channel.close();
        }
        completePending(
                null,
                new IOException("the connection to " + server + " was closed during the call"));
        stopTimeout();
    }

    private void connect(DefaultFullHttpRequest request) {
        ChannelFuture connecting;
        try {
            connecting =
                    transport.connect(
                            server, ControlProtocol.CONNECT_TIMEOUT_MILLIS, this::initPipeline);
        } catch (ChannelException e) {
            request.release();
            transport
                    .loop()
                    .execute(
                            () ->
                                    completePending(
                                            null,
                                            new IOException(
                                                    "could not create a socket for a call", e)));
            return;
        }
        Channel connected = connecting.channel();
        channel = connected;
        connecting.addListener(
                done -> {
                    if (done.isSuccess() && channel == connected && pending != null) {
                        write(request);
                    } else {
                        request.release();
                    }
                });
        connected.closeFuture().addListener(done -> channelClosed(connected));
    }

    private void initPipeline(Channel created) {
        created.pipeline()
                .addLast(
                        ControlProtocol.clientCodec(),
                        new HttpObjectAggregator(ControlProtocol.MAX_RESPONSE_BYTES),
                        new ResponseHandler());
    }

    private void write(DefaultFullHttpRequest request) {
        channel.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    private void channelClosed(Channel closedChannel) {
        if (channel == closedChannel) {
            channel = null;
            completePending(
                    null, new IOException("connection closed without a response from " + server));
        }
    }

    private void completePending(CallResponse response, IOException failure) {
        CompletableFuture<CallResponse> completed = pending;
        if (completed == null) {
            return;
        }
        pending = null;
        restartTimeout(IDLE_TIMEOUT_MILLIS);
        if (failure == null) {
            completed.complete(response);
        } else {
            completed.completeExceptionally(failure);
        }
    }

    private void restartTimeout(long millis) {
        stopTimeout();
        timeout = transport.loop().schedule(this::timedOut, millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    private void timedOut() {
        Channel expired = channel;
        channel = null;
        completePending(
                null, new IOException("no response from " + server + " before the timeout"));
        if (expired != null) {
            expired.close();
        }
        if (channel == null) {
            stopTimeout();
        }
    }

    /** Completes the pending call with its response. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.decoderResult().isFailure() || context.channel() != channel) {
                context.close();
                return;
            }
            if (!HttpUtil.isKeepAlive(response)) {
                channel = null;
                context.close();
            }
            String retryAfter = response.headers().get(HttpHeaderNames.RETRY_AFTER);
            completePending(
                    new CallResponse(
                            response.status().code(),
                            ControlProtocol.retryAfterMillis(retryAfter),
                            ByteBufUtil.getBytes(response.content())),
                    null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
