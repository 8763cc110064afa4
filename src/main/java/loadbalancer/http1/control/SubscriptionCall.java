package loadbalancer.http1.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.transport.Transport;

/**
 * One subscription on its own connection: a request and a response whose body is a stream of lines.
 * Reports its end once, with the reason. Only the response head has a timeout; the subscriber
 * limits the time between lines. Used on the event loop only.
 */
final class SubscriptionCall extends SimpleChannelInboundHandler<Object> {
    private static final long RESPONSE_TIMEOUT_MILLIS = 3_000;
    private static final int MAX_REASON_BYTES = 200;

    private final Transport transport;
    private final InetSocketAddress server;
    private final SubscriptionEvents events;
    private Channel channel;
    private ScheduledFuture<?> responseTimeout;
    private boolean ended;
    private boolean accepted;
    private long retryAfterMillis;
    private String reason;

    private SubscriptionCall(
            Transport transport, InetSocketAddress server, SubscriptionEvents events) {
        this.transport = transport;
        this.server = server;
        this.events = events;
        this.reason = "no connection to " + server;
    }

    /** Opens a subscription; its events are reported only after this call has returned. */
    static SubscriptionCall open(
            Transport transport, InetSocketAddress server, String uri, SubscriptionEvents events) {
        SubscriptionCall call = new SubscriptionCall(transport, server, events);
        call.connect(uri);
        return call;
    }

    /** Ends the subscription; no event follows. */
    void cancel() {
        ended = true;
        cancelResponseTimeout();
        if (channel != null) {
            channel.close();
        }
    }

    /** Pauses or resumes reading from the connection. */
    void pauseReading(boolean paused) {
        if (channel != null) {
            channel.config().setAutoRead(!paused);
        }
    }

    private void connect(String uri) {
        ChannelFuture connecting;
        try {
            connecting =
                    transport.connect(
                            server, ControlProtocol.CONNECT_TIMEOUT_MILLIS, this::initPipeline);
        } catch (ChannelException e) {
            reason = "could not create a socket for a subscription";
            transport.loop().execute(this::end);
            return;
        }
        channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (done.isSuccess() && !ended) {
                        sendRequest(uri);
                    }
                });
        channel.closeFuture().addListener(done -> end());
    }

    private void initPipeline(Channel created) {
        created.pipeline()
                .addLast(
                        ControlProtocol.clientCodec(),
                        new ContentDecoder(),
                        new LineBasedFrameDecoder(ControlProtocol.MAX_LINE_BYTES, true, true),
                        this);
    }

    private void sendRequest(String uri) {
        reason = "no response from " + server;
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, ControlProtocol.host(server));
        channel.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        responseTimeout =
                transport
                        .loop()
                        .schedule(
                                () -> channel.close(),
                                RESPONSE_TIMEOUT_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Object message) {
        if (ended) {
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(context, head);
        } else if (message instanceof ByteBuf line && accepted) {
            readLine(line);
        } else if (message instanceof ByteBuf line) {
            reason = server + " responded: " + text(line);
        } else if (message instanceof LastHttpContent) {
            context.close();
        }
    }

    private void readHead(ChannelHandlerContext context, HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            reason = invalidResponse();
            context.close();
            return;
        }
        accepted = head.status().equals(HttpResponseStatus.OK);
        if (accepted) {
            cancelResponseTimeout(); // on an error it still limits the wait for the body
            reason = server + " ended the subscription";
        } else {
            retryAfterMillis =
                    ControlProtocol.retryAfterMillis(
                            head.headers().get(HttpHeaderNames.RETRY_AFTER));
            reason = server + " responded with status " + head.status().code();
        }
    }

    private String invalidResponse() {
        return server + " sent an invalid HTTP response";
    }

    private void readLine(ByteBuf line) {
        if (line.isReadable()) {
            events.line(ByteBufUtil.getBytes(line));
        } else {
            events.heartbeat();
        }
    }

    private static String text(ByteBuf line) {
        int length = Math.min(line.readableBytes(), MAX_REASON_BYTES);
        return line.toString(line.readerIndex(), length, StandardCharsets.UTF_8);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            reason =
                    server
                            + " sent a line longer than "
                            + ControlProtocol.MAX_LINE_BYTES
                            + " bytes";
        } else if (cause instanceof DecoderException) {
            reason = invalidResponse();
        }
        context.close();
    }

    private void end() {
        cancelResponseTimeout();
        if (!ended) {
            ended = true;
            events.ended(retryAfterMillis, reason);
        }
    }

    private void cancelResponseTimeout() {
        if (responseTimeout != null) {
            responseTimeout.cancel(false);
            responseTimeout = null;
        }
    }

    /** Passes the bytes of a response body to the line decoder; head and end pass unchanged. */
    private static final class ContentDecoder extends MessageToMessageDecoder<HttpContent> {
        /**
         * Excludes messages that the codec could not decode, which are head and content at once.
         */
        @Override
        public boolean acceptInboundMessage(Object message) {
            return message instanceof HttpContent && !(message instanceof HttpResponse);
        }

        @Override
        protected void decode(
                ChannelHandlerContext context, HttpContent content, List<Object> out) {
            if (content.decoderResult().isFailure()) {
                throw new DecoderException(content.decoderResult().cause());
            }
            if (content.content().isReadable()) {
                out.add(content.content().retain());
            }
            if (content instanceof LastHttpContent) {
                out.add(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        }
    }
}
