package loadbalancer.http1.control;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.publish.Subscription;
import loadbalancer.http1.codec.LimitedHttpHeadersFactory;

/**
 * One connection to a control server, from accept to close. It reads one request at a time and
 * writes its response. An invalid request gets a response with one line of text and ends only this
 * connection. Used on the event loop only; times are those of the transport's monotonic clock.
 */
final class ControlConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final System.Logger LOG = System.getLogger(ControlConnection.class.getName());
    private static final long LINGER_MILLIS = 2_000;
    private static final long BUSY_RETRY_MILLIS = 1_000;

    /** The state of the connection. */
    private enum State {
        /** Waiting for a request. */
        IDLE,
        /** The head of a request has been received; its body is being received. */
        RECEIVING,
        /** Waiting for the result of a change. */
        CHANGING,
        /** Sending the lines of a subscription. */
        SUBSCRIBED,
        /**
         * The last response has been sent. Input is discarded, since a close with unread input
         * would reset the connection before the client has read the response.
         */
        LINGERING
    }

    private final ControlServer server;
    private final Channel channel;
    private final LimitedHttpHeadersFactory headers;
    private State state = State.IDLE;
    private long stateSinceNanos;
    private IncomingRequest request;
    private boolean hasChangePermit;
    private Subscription subscription;
    private boolean isWritable = true;
    private long unwritableSinceNanos;

    ControlConnection(ControlServer server, Channel channel, LimitedHttpHeadersFactory headers) {
        this.server = server;
        this.channel = channel;
        this.headers = headers;
    }

    void close() {
        channel.close();
    }

    // ---- Channel events and time limits ----

    @Override
    public void channelActive(ChannelHandlerContext context) {
        enter(State.IDLE);
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        endSubscription();
        if (state == State.RECEIVING) {
            releaseChangePermit();
        }
        releaseRequest();
        headers.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        isWritable = channel.isWritable();
        unwritableSinceNanos = server.transport().nanoTime();
        if (isWritable && subscription != null) {
            server.subscriptions().becameWritable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.log(
                    Level.ERROR,
                    "closed a control connection after an unexpected exception",
                    cause);
        }
        context.close();
    }

    /** Ends the connection if its state has exceeded its time limit. */
    void endIfOverdue() {
        switch (state) {
            case IDLE -> closeIfOlder(stateSinceNanos, server.limits().requestMillis());
            case RECEIVING -> rejectIfOlder(server.limits().requestMillis());
            case SUBSCRIBED -> {
                if (!isWritable) {
                    closeIfOlder(unwritableSinceNanos, server.limits().unwritableMillis());
                }
            }
            case LINGERING -> closeIfOlder(stateSinceNanos, LINGER_MILLIS);
            default -> {}
        }
    }

    private void closeIfOlder(long sinceNanos, long limitMillis) {
        if (isOlder(sinceNanos, limitMillis)) {
            channel.close();
        }
    }

    private void rejectIfOlder(long limitMillis) {
        if (isOlder(stateSinceNanos, limitMillis)) {
            respondAndClose(
                    ControlResponses.textLine(
                            HttpResponseStatus.REQUEST_TIMEOUT,
                            "the request did not come whole in time"));
        }
    }

    private boolean isOlder(long sinceNanos, long limitMillis) {
        long ageNanos = server.transport().nanoTime() - sinceNanos;
        return ageNanos > TimeUnit.MILLISECONDS.toNanos(limitMillis);
    }

    private void enter(State next) {
        state = next;
        stateSinceNanos = server.transport().nanoTime();
    }

    // ---- Requests ----

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (state == State.LINGERING) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            rejectMalformed();
        } else if (state == State.CHANGING || state == State.SUBSCRIBED) {
            channel.close(); // a response could be read as part of the pending one
        } else if (message instanceof HttpRequest head) {
            receiveHead(head);
            if (message instanceof HttpContent content) {
                receiveBody(content);
            }
        } else if (message instanceof HttpContent content) {
            receiveBody(content);
        }
    }

    private void rejectMalformed() {
        if (state == State.IDLE || state == State.RECEIVING) {
            respondAndClose(
                    ControlResponses.textLine(
                            HttpResponseStatus.BAD_REQUEST,
                            "not a request of HTTP/1.1, or one with too long a head"));
        } else {
            channel.close();
        }
    }

    private void receiveHead(HttpRequest head) {
        enter(State.RECEIVING);
        request = new IncomingRequest(head, server.transport().memoryQuota());
        Optional<FullHttpResponse> rejection = request.rejectionByHead();
        if (rejection.isPresent()) {
            respondAndClose(rejection.get());
        } else if (request.call() == ControlCall.CHANGE && !acquireChangePermit()) {
            respondAndClose(
                    ControlResponses.unavailable(BUSY_RETRY_MILLIS, "too many changes are open"));
        } else if (request.expectsContinue()) {
            channel.writeAndFlush(ControlResponses.continueResponse());
        }
    }

    private void receiveBody(HttpContent content) {
        if (state != State.RECEIVING) {
            return; // the request was rejected because of its head
        }
        if (request.exceedsLimit(content)) {
            respondAndClose(request.payloadTooLarge());
        } else if (!request.tryAppend(content)) {
            server.transport().memoryQuota().countRefusal();
            respondAndClose(
                    ControlResponses.unavailable(BUSY_RETRY_MILLIS, "too much is being received"));
        } else if (content instanceof LastHttpContent) {
            server.calls().dispatch(request, this);
        }
    }

    // ---- Calls with delayed or streamed responses ----

    /** Creates the sink for a subscription that this connection is to carry. */
    SubscriberChannel subscriberChannel(String subscriber) {
        return new SubscriberChannel(subscriber, channel);
    }

    /** Starts the response whose body carries the lines of an admitted subscription. */
    void startSubscription(Subscription admitted) {
        subscription = admitted;
        enter(State.SUBSCRIBED);
        releaseRequest();
        channel.writeAndFlush(ControlResponses.subscriptionHead())
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    private void endSubscription() {
        if (subscription != null) {
            Subscription ended = subscription;
            subscription = null;
            server.subscriptions().unsubscribe(ended);
        }
    }

    /** Marks the start of a change; {@link #completeChange} follows. */
    void startChange() {
        enter(State.CHANGING);
    }

    /** Responds with the result of a change, unless the connection has ended in the meantime. */
    void completeChange(ChangeResult result) {
        releaseChangePermit();
        if (state == State.CHANGING) {
            respond(ControlResponses.forChange(result));
        }
    }

    private boolean acquireChangePermit() {
        hasChangePermit = server.acquireChangePermit();
        return hasChangePermit;
    }

    private void releaseChangePermit() {
        if (hasChangePermit) {
            hasChangePermit = false;
            server.releaseChangePermit();
        }
    }

    private void releaseRequest() {
        if (request != null) {
            request.release();
            request = null;
        }
        headers.releaseAll();
    }

    // ---- Responses ----

    /** Responds to a complete request; the connection stays open if the client asked for that. */
    void respond(FullHttpResponse response) {
        if (request.isKeepAlive()) {
            releaseRequest();
            enter(State.IDLE);
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        } else {
            respondAndClose(response);
        }
    }

    /**
     * Sends the last response on this connection, for example to an invalid or incomplete request.
     * Shuts down only the output: a full close with unread bytes would reset the connection.
     */
    void respondAndClose(FullHttpResponse response) {
        enter(State.LINGERING);
        releaseRequest();
        releaseChangePermit();
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
