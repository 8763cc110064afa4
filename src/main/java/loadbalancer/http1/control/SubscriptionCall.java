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
import io.netty.handler.codec.http.HttpClientCodec;
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
 * One subscription on a connection of its own: a request, and an answer whose lines go on. Ends
 * once, and tells why. Silence after the answer's head is for the subscriber to judge.
 */
final class SubscriptionCall extends SimpleChannelInboundHandler<Object> {
    private static final int DIAL_TIMEOUT_MILLIS = 1_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 3_000;
    private static final int LONGEST_REASON = 200;

    private final Transport transport;
    private final InetSocketAddress server;
    private final SubscriptionEvents events;
    private Channel channel;
    private ScheduledFuture<?> answerTimeout;
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

    /**
     * Opens a subscription, on the loop; what comes of it is told later, never from within this
     * call.
     */
    static SubscriptionCall open(
            Transport transport, InetSocketAddress server, String uri, SubscriptionEvents events) {
        SubscriptionCall call = new SubscriptionCall(transport, server, events);
        call.dial(uri);
        return call;
    }

    /** Ends it; nothing more is told. */
    void cancel() {
        ended = true;
        stopAnswerTimeout();
        if (channel != null) {
            channel.close();
        }
    }

    /** Stops reading from the connection, or goes on. */
    void pauseReading(boolean paused) {
        if (channel != null) {
            channel.config().setAutoRead(!paused);
        }
    }

    private void dial(String uri) {
        ChannelFuture connecting;
        try {
            connecting =
                    transport.connect(
                            server,
                            DIAL_TIMEOUT_MILLIS,
                            made ->
                                    made.pipeline()
                                            .addLast(
                                                    new HttpClientCodec(
                                                            ControlProtocol.decoderConfig(),
                                                            false,
                                                            false),
                                                    new ContentDecoder(),
                                                    new LineBasedFrameDecoder(
                                                            ControlProtocol.MAX_LINE_BYTES,
                                                            true,
                                                            true),
                                                    this));
        } catch (ChannelException e) {
            reason = "no socket for a subscription";
            transport.loop().execute(this::end);
            return;
        }
        channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (done.isSuccess() && !ended) {
                        ask(uri);
                    }
                });
        channel.closeFuture().addListener(done -> end());
    }

    private void ask(String uri) {
        reason = "no answer from " + server;
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers()
                .set(HttpHeaderNames.HOST, server.getHostString() + ":" + server.getPort());
        channel.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        answerTimeout =
                transport
                        .loop()
                        .schedule(
                                () -> channel.close(),
                                ANSWER_TIMEOUT_MILLIS,
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
            reason = server + " answered: " + text(line);
        } else if (message instanceof LastHttpContent) {
            context.close();
        }
    }

    private void readHead(ChannelHandlerContext context, HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            reason = notHttp();
            context.close();
            return;
        }
        accepted = head.status().equals(HttpResponseStatus.OK);
        if (accepted) {
            stopAnswerTimeout(); // else it still bounds the time that the reason takes to come
            reason = server + " ended the subscription";
        } else {
            retryAfterMillis =
                    ControlProtocol.retryAfterMillis(
                            head.headers().get(HttpHeaderNames.RETRY_AFTER));
            reason = server + " answered with status " + head.status().code();
        }
    }

    private String notHttp() {
        return server + " sent something other than HTTP";
    }

    private void readLine(ByteBuf line) {
        if (line.isReadable()) {
            events.line(ByteBufUtil.getBytes(line));
        } else {
            events.heartbeat();
        }
    }

    private static String text(ByteBuf line) {
        int length = Math.min(line.readableBytes(), LONGEST_REASON);
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
            reason = notHttp();
        }
        context.close();
    }

    private void end() {
        stopAnswerTimeout();
        if (!ended) {
            ended = true;
            events.ended(retryAfterMillis, reason);
        }
    }

    private void stopAnswerTimeout() {
        if (answerTimeout != null) {
            answerTimeout.cancel(false);
            answerTimeout = null;
        }
    }

    /**
     * Hands on the bytes of an answer's body for the decoder of lines, and its head and end as they
     * are.
     */
    private static final class ContentDecoder extends MessageToMessageDecoder<HttpContent> {
        /** What the codec can't read is a head and a content in one. */
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
