package loadbalancer.node;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.transport.Transport;

/**
 * One call to the discovery service on its own connection. A call closes itself after a silence,
 * which is a time without a complete line or response head: bytes that never complete a line do not
 * end it. Used on the event loop; times come from the transport's monotonic clock.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject>
        implements ListFramer.Listener {
    /** States of a call, each with the longest silence that is allowed in it, in milliseconds. */
    enum State {
        /** The connection is being established, under the transport's connect timeout. */
        CONNECTING(Long.MAX_VALUE),
        /** The request was written; the response head has not arrived yet. */
        REQUESTED(DiscoveryTimes.RESPONSE_MILLIS),
        /** The response head has arrived. */
        OPEN(DiscoveryTimes.SILENCE_MILLIS),
        /** The call was closed or cancelled, and reports nothing further. */
        ENDED(Long.MAX_VALUE);

        private final long maxSilenceMillis;

        State(long maxSilenceMillis) {
            this.maxSilenceMillis = maxSilenceMillis;
        }
    }

    /** Receives the events of calls until they end. */
    interface Listener {
        /** Reports an empty line: the list has not changed. */
        void onHeartbeat(DiscoveryCall call);

        /** Delivers a JSON object, which should be an endpoint list. */
        void onObject(DiscoveryCall call, byte[] json);

        /** Reports input that could not be parsed, with the reason. */
        void onInvalid(DiscoveryCall call, String reason);

        /** Reports that the call has ended without being cancelled. */
        void onEnd(DiscoveryCall call);

        /** Reports a failure within this process, such as a missing descriptor; the call ends. */
        void onLocalFailure(Throwable cause);
    }

    private final Transport transport;
    private final InetSocketAddress address;
    private final String uri;
    private final Listener listener;
    private final ListFramer framer = new ListFramer(this);
    private State state = State.CONNECTING;
    private Channel channel;
    private ScheduledFuture<?> silenceCheck;
    private boolean isSecondCheck;
    private long receivedAtNanos;

    /** 0 until the response head has arrived. */
    private long openedAtNanos;

    private DiscoveryCallOutcome outcome = DiscoveryCallOutcome.CLOSED;

    private DiscoveryCall(
            Transport transport, InetSocketAddress address, String uri, Listener listener) {
        this.transport = transport;
        this.address = address;
        this.uri = uri;
        this.listener = listener;
        this.receivedAtNanos = transport.nanoTime();
    }

    /**
     * Starts a call. The listener is notified of the end later, never from within this method;
     * {@link Listener#onLocalFailure} may be called from within it.
     */
    static DiscoveryCall start(
            Transport transport, InetSocketAddress address, String uri, Listener listener) {
        DiscoveryCall call = new DiscoveryCall(transport, address, uri, listener);
        ChannelFuture connecting;
        try {
            connecting =
                    transport.connect(
                            address,
                            DiscoveryTimes.CONNECT_MILLIS,
                            newChannel ->
                                    newChannel.pipeline().addLast(new HttpClientCodec(), call));
        } catch (ChannelException e) {
            call.outcome = DiscoveryCallOutcome.NOT_DIALLED;
            listener.onLocalFailure(e); // for lack of a descriptor
            transport.loop().execute(call::end);
            return call;
        }
        call.channel = connecting.channel();
        connecting.addListener(
                connected -> {
                    if (connected.isSuccess() && call.state == State.CONNECTING) {
                        call.sendRequest();
                    } else if (!connected.isSuccess()) {
                        call.outcome = DiscoveryCallOutcome.NOT_CONNECTED;
                    }
                });
        call.channel.closeFuture().addListener(closed -> call.end());
        return call;
    }

    /** Closes the call; the listener receives no further event. */
    void cancel() {
        state = State.ENDED;
        cancelSilenceCheck();
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Returns the milliseconds since the last of these: start of the connect, request written,
     * response head received, complete line received.
     */
    long quietMillis() {
        return TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - receivedAtNanos);
    }

    /** Returns why the call ended; valid once it has. */
    DiscoveryCallOutcome outcome() {
        return outcome;
    }

    /** Returns the milliseconds since the response head arrived; 0 before that. */
    long openMillis() {
        return openedAtNanos == 0
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - openedAtNanos);
    }

    private void sendRequest() {
        enter(State.REQUESTED);
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString());
        // A failed write, as for lack of memory, would otherwise be noticed only by the silence
        // check.
        channel.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    private void open() {
        enter(State.OPEN);
        openedAtNanos = transport.nanoTime();
    }

    private void end() {
        if (state != State.ENDED) {
            state = State.ENDED;
            cancelSilenceCheck();
            listener.onEnd(this);
        }
    }

    private void enter(State next) {
        state = next;
        recordReceived();
        cancelSilenceCheck();
        silenceCheck =
                transport
                        .loop()
                        .schedule(this::checkSilence, next.maxSilenceMillis, TimeUnit.MILLISECONDS);
    }

    private void recordReceived() {
        receivedAtNanos = transport.nanoTime();
        isSecondCheck = false;
    }

    private void cancelSilenceCheck() {
        if (silenceCheck != null) {
            silenceCheck.cancel(false);
        }
    }

    /**
     * Closes the call after two checks in a row that find a silence: between the two the loop reads
     * what arrived while it was blocked.
     */
    private void checkSilence() {
        long remainingMillis = state.maxSilenceMillis - quietMillis();
        if (remainingMillis <= 0 && isSecondCheck) {
            outcome = DiscoveryCallOutcome.SILENT;
            channel.close();
            return;
        }
        isSecondCheck = remainingMillis <= 0;
        silenceCheck =
                transport
                        .loop()
                        .schedule(
                                this::checkSilence,
                                Math.max(1, remainingMillis),
                                TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (state == State.ENDED) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            outcome = DiscoveryCallOutcome.GARBLED;
            ctx.close();
            return;
        }
        if (part instanceof HttpResponse head
                && head.status().code() != HttpResponseStatus.OK.code()) {
            outcome = DiscoveryCallOutcome.REFUSED;
            ctx.close();
            return;
        }
        if (part instanceof HttpResponse) {
            open();
        }
        if (part instanceof HttpContent content) {
            framer.add(content.content());
        }
        if (part instanceof LastHttpContent && state != State.ENDED) {
            framer.end();
            outcome = DiscoveryCallOutcome.ANSWERED;
            ctx.close();
        }
    }

    @Override
    public void onHeartbeat() {
        if (state != State.ENDED) {
            recordReceived();
            listener.onHeartbeat(this);
        }
    }

    @Override
    public void onObject(byte[] json) {
        if (state != State.ENDED) {
            recordReceived();
            listener.onObject(this, json);
        }
    }

    @Override
    public void onInvalid(String reason) {
        if (state != State.ENDED) {
            listener.onInvalid(this, reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            listener.onLocalFailure(cause);
        }
        ctx.close();
    }
}
