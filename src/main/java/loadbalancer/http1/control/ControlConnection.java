package loadbalancer.http1.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.publish.Admission;
import loadbalancer.control.publish.Subscription;

/**
 * One connection to a control server: takes one request at a time, within bounds, and answers it.
 * What can't be used gets one line and ends this connection only.
 */
final class ControlConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final System.Logger LOG = System.getLogger(ControlConnection.class.getName());
    private static final long LINGER_MILLIS = 2_000;
    private static final long BUSY_RETRY_MILLIS = 1_000;
    private static final int MAX_PATH_QUOTED = 80;

    /** Where a connection stands. */
    private enum State {
        /** For a request. */
        WAITING,
        /** The head is here, and the body is to come. */
        RECEIVING,
        /** A change is handled. */
        ANSWERING,
        /** The answer is a subscription, which goes on. */
        SUBSCRIBED,
        /**
         * Has its last answer; what the other side still sends is discarded, so that the answer
         * arrives.
         */
        LINGERING
    }

    private final ControlServer server;
    private final Channel channel;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private State state = State.WAITING;
    private long stateSince;
    private ControlCall call;
    private QueryStringDecoder query;
    private boolean keepAlive;
    private boolean holdsChangePlace;
    private Subscription subscription;
    private boolean writable = true;
    private long unwritableSince;

    ControlConnection(ControlServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
    }

    void close() {
        channel.close();
    }

    // ---- Time and the connection's own events
    // ----------------------------------------------------------

    @Override
    public void channelActive(ChannelHandlerContext context) {
        enter(State.WAITING);
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        endSubscription();
        if (state == State.RECEIVING) {
            releaseChangePlace();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        writable = channel.isWritable();
        unwritableSince = server.transport().nanoTime();
        if (writable && subscription != null) {
            server.subscriptions().becameWritable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.log(Level.ERROR, "closed a control connection after a failure", cause);
        }
        context.close();
    }

    /** Ends the connection if it has stood where it is for too long. */
    void endIfOverdue() {
        switch (state) {
            case WAITING -> closeIfOlder(stateSince, server.limits().requestMillis());
            case RECEIVING -> rejectIfOlder(server.limits().requestMillis());
            case SUBSCRIBED -> {
                if (!writable) {
                    closeIfOlder(unwritableSince, server.limits().unwritableMillis());
                }
            }
            case LINGERING -> closeIfOlder(stateSince, LINGER_MILLIS);
            default -> {}
        }
    }

    private void closeIfOlder(long since, long millis) {
        if (isOlder(since, millis)) {
            channel.close();
        }
    }

    private void rejectIfOlder(long millis) {
        if (isOlder(stateSince, millis)) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come whole in time");
        }
    }

    private boolean isOlder(long since, long millis) {
        return server.transport().nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void enter(State next) {
        state = next;
        stateSince = server.transport().nanoTime();
    }

    // ---- Receiving
    // -------------------------------------------------------------------------------------

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (state == State.LINGERING) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            rejectUnreadable();
        } else if (state == State.ANSWERING || state == State.SUBSCRIBED) {
            channel.close(); // an answer to this could be taken for the one that is open
        } else if (message instanceof HttpRequest request) {
            receiveHead(request);
            if (message instanceof HttpContent content) {
                receiveBody(content);
            }
        } else if (message instanceof HttpContent content) {
            receiveBody(content);
        }
    }

    private void rejectUnreadable() {
        if (state == State.WAITING || state == State.RECEIVING) {
            reject(
                    HttpResponseStatus.BAD_REQUEST,
                    "not a request of HTTP/1.1, or one with too long a head");
        } else {
            channel.close();
        }
    }

    private void receiveHead(HttpRequest request) {
        enter(State.RECEIVING);
        body.reset();
        keepAlive = HttpUtil.isKeepAlive(request);
        query = new QueryStringDecoder(request.uri());
        call = ControlCall.at(pathOf(query));
        if (call == null) {
            reject(HttpResponseStatus.NOT_FOUND, "no such call: " + quoted(request.uri()));
        } else if (!request.method().equals(call.method())) {
            reject(HttpResponseStatus.METHOD_NOT_ALLOWED, "expected " + call.method());
        } else if (HttpUtil.getContentLength(request, 0L) > call.maxBodyBytes()) {
            rejectOversized();
        } else if (call == ControlCall.CHANGE && !takeChangePlace()) {
            answerLast(ControlResponses.deferral(BUSY_RETRY_MILLIS, "too many changes are open"));
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private static String pathOf(QueryStringDecoder query) {
        try {
            return query.path();
        } catch (IllegalArgumentException e) {
            return ""; // a percent sign with no digits behind it
        }
    }

    private static String quoted(String uri) {
        String path =
                uri.length() > MAX_PATH_QUOTED ? uri.substring(0, MAX_PATH_QUOTED) + "..." : uri;
        return path.replaceAll("[^\\x21-\\x7e]", "?");
    }

    private void receiveBody(HttpContent content) {
        if (state != State.RECEIVING) {
            return; // rejected by its head
        }
        int length = content.content().readableBytes();
        if (body.size() + length > call.maxBodyBytes()) {
            rejectOversized();
            return;
        }
        append(content);
        if (content instanceof LastHttpContent) {
            dispatch();
        }
    }

    private void append(HttpContent content) {
        try {
            content.content().readBytes(body, content.content().readableBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e); // there is no I/O in memory
        }
    }

    private void rejectOversized() {
        reject(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body is longer than " + call.maxBodyBytes() + " bytes");
    }

    // ---- Handling
    // --------------------------------------------------------------------------------------

    private void dispatch() {
        byte[] received = body.toByteArray();
        body.reset();
        try {
            switch (call) {
                case SUBSCRIBE -> subscribe(SubscribeQuery.read(query));
                case ACKNOWLEDGE -> acknowledge(received);
                case REPORT -> report(received);
                case STATUS ->
                        answer(
                                ControlResponses.json(
                                        MessageCodec.encode(server.status().status())));
                default -> change(received);
            }
        } catch (InvalidChangeException e) {
            answer(ControlResponses.line(HttpResponseStatus.BAD_REQUEST, e.getMessage()));
        } catch (IllegalArgumentException e) {
            reject(HttpResponseStatus.BAD_REQUEST, "the query can't be decoded");
        }
    }

    private void subscribe(SubscribeRequest request) {
        SubscriberChannel sink = new SubscriberChannel(request.subscriber(), channel);
        Admission admission = server.subscriptions().subscribe(request, sink);
        if (admission instanceof Admission.Admitted admitted) {
            subscription = admitted.subscription();
            enter(State.SUBSCRIBED);
            HttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            HttpUtil.setTransferEncodingChunked(head, true);
            channel.writeAndFlush(head).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        } else if (admission instanceof Admission.Deferred deferred) {
            answer(ControlResponses.deferral(deferred.retryAfterMillis(), deferred.reason()));
        }
    }

    private void endSubscription() {
        if (subscription != null) {
            Subscription ended = subscription;
            subscription = null;
            server.subscriptions().unsubscribe(ended);
        }
    }

    private void acknowledge(byte[] received) throws InvalidChangeException {
        server.subscriptions().acknowledge(ResourceCodec.readAcknowledgement(received));
        answer(ControlResponses.noContent());
    }

    private void report(byte[] received) throws InvalidChangeException {
        server.status().report(MessageCodec.readReport(received));
        answer(ControlResponses.noContent());
    }

    private void change(byte[] received) {
        enter(State.ANSWERING);
        server.changes()
                .change(
                        received,
                        answer -> {
                            releaseChangePlace();
                            if (state == State.ANSWERING) {
                                answer(ControlResponses.of(answer));
                            }
                        });
    }

    private boolean takeChangePlace() {
        holdsChangePlace = server.takeChangePlace();
        return holdsChangePlace;
    }

    private void releaseChangePlace() {
        if (holdsChangePlace) {
            holdsChangePlace = false;
            server.releaseChangePlace();
        }
    }

    // ---- Answering
    // -------------------------------------------------------------------------------------

    /** Answers a request that came whole; the connection is kept if its client wants that. */
    private void answer(FullHttpResponse response) {
        if (keepAlive) {
            enter(State.WAITING);
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        } else {
            answerLast(response);
        }
    }

    /** Answers with one line a request that can't be used, or not all of which was received. */
    private void reject(HttpResponseStatus status, String text) {
        answerLast(ControlResponses.line(status, text));
    }

    /** Closes for writing only: on a full close, bytes not read yet would reset the connection. */
    private void answerLast(FullHttpResponse response) {
        enter(State.LINGERING);
        body.reset();
        releaseChangePlace();
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response)
                .addListener(
                        done -> {
                            if (done.isSuccess() && channel instanceof DuplexChannel duplex) {
                                duplex.shutdownOutput();
                            } else {
                                channel.close();
                            }
                        });
    }
}
