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

/**
 * One connection to a control server, from its accept to its end: takes one request at a time and
 * writes its response. A request that can't be used gets one line and ends this connection only.
 * For the loop's thread, by the transport's monotonic clock.
 */
final class ControlConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final System.Logger LOG = System.getLogger(ControlConnection.class.getName());
    private static final long LINGER_MILLIS = 2_000;
    private static final long BUSY_RETRY_MILLIS = 1_000;

    /** What a connection does. */
    private enum State {
        /** Waits for a request. */
        IDLE,
        /** Has the head of a request and receives its body. */
        RECEIVING,
        /** Waits for the result of a change. */
        CHANGING,
        /** Sends the lines of a subscription. */
        SUBSCRIBED,
        /**
         * Has sent its last response and discards what still comes, so that the response arrives.
         */
        LINGERING
    }

    private final ControlServer server;
    private final Channel channel;
    private State state = State.IDLE;
    private long stateSinceNanos;
    private IncomingRequest request;
    private boolean hasChangePermit;
    private Subscription subscription;
    private boolean isWritable = true;
    private long unwritableSinceNanos;

    ControlConnection(ControlServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
    }

    void close() {
        channel.close();
    }

    // ---- Events of the channel and of time ----

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
            LOG.log(Level.ERROR, "closed a control connection after a failure", cause);
        }
        context.close();
    }

    /** Ends the connection if its state has lasted longer than the limits allow. */
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
            reject(
                    ControlResponses.line(
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
            rejectUnreadable();
        } else if (state == State.CHANGING || state == State.SUBSCRIBED) {
            channel.close(); // a response to this could be taken for the one that is open
        } else if (message instanceof HttpRequest head) {
            receiveHead(head);
            if (message instanceof HttpContent content) {
                receiveBody(content);
            }
        } else if (message instanceof HttpContent content) {
            receiveBody(content);
        }
    }

    private void rejectUnreadable() {
        if (state == State.IDLE || state == State.RECEIVING) {
            reject(
                    ControlResponses.line(
                            HttpResponseStatus.BAD_REQUEST,
                            "not a request of HTTP/1.1, or one with too long a head"));
        } else {
            channel.close();
        }
    }

    private void receiveHead(HttpRequest head) {
        enter(State.RECEIVING);
        request = new IncomingRequest(head);
        Optional<FullHttpResponse> rejection = request.rejectionByHead();
        if (rejection.isPresent()) {
            reject(rejection.get());
        } else if (request.call() == ControlCall.CHANGE && !acquireChangePermit()) {
            reject(ControlResponses.deferral(BUSY_RETRY_MILLIS, "too many changes are open"));
        } else if (request.expectsContinue()) {
            channel.writeAndFlush(ControlResponses.interimContinue());
        }
    }

    private void receiveBody(HttpContent content) {
        if (state != State.RECEIVING) {
            return; // rejected by its head
        }
        if (!request.append(content)) {
            reject(request.oversized());
        } else if (content instanceof LastHttpContent) {
            server.calls().dispatch(request, this);
        }
    }

    // ---- Calls whose responses take time ----

    /** The way to a subscriber whose subscription this connection is to carry. */
    SubscriberChannel sink(String subscriber) {
        return new SubscriberChannel(subscriber, channel);
    }

    /** Starts the response whose body is the lines of an admitted subscription. */
    void startSubscription(Subscription admitted) {
        subscription = admitted;
        enter(State.SUBSCRIBED);
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

    /** A change is handed on; {@link #completeChange} follows. */
    void startChange() {
        enter(State.CHANGING);
    }

    /** Responds with the result of the change, unless the connection has ended meanwhile. */
    void completeChange(ChangeResult result) {
        releaseChangePermit();
        if (state == State.CHANGING) {
            respond(ControlResponses.of(result));
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

    // ---- Responses ----

    /** Responds to a complete request; the connection stays open if its client wants that. */
    void respond(FullHttpResponse response) {
        if (request.isKeepAlive()) {
            request = null;
            enter(State.IDLE);
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        } else {
            reject(response);
        }
    }

    /**
     * Sends the last response, as to a request that can't be used or not all of which was received.
     * Closes for writing only: on a full close, bytes not read yet would reset the connection.
     */
    void reject(FullHttpResponse response) {
        enter(State.LINGERING);
        request = null;
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
