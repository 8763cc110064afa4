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
 * One call to the discovery service on a connection of its own. It closes itself if nothing
 * complete was received for too long: single bytes that never make a line count as silence, too. On
 * the loop; times come from the transport's monotonic clock.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject>
        implements ListFramer.Output {
    /** State of a call, with the longest silence allowed in it, in milliseconds. */
    enum State {
        /** Connecting, which has a timeout of its own. */
        CONNECTING(Long.MAX_VALUE),
        /** The request is written, and the head of the response not received yet. */
        REQUESTED(DiscoveryTimes.RESPONSE_MILLIS),
        /** The head of the response was received. */
        OPEN(DiscoveryTimes.SILENCE_MILLIS),
        /** Closed or cancelled; nothing further is reported. */
        ENDED(Long.MAX_VALUE);

        private final long maxSilenceMillis;

        State(long maxSilenceMillis) {
            this.maxSilenceMillis = maxSilenceMillis;
        }
    }

    /** Is notified of the events of its calls, up to their end. */
    interface Caller {
        /** Nothing has changed. */
        void empty(DiscoveryCall call);

        /** A JSON object, expected to be a list. */
        void object(DiscoveryCall call, byte[] json);

        /** Something that can't be read, with the reason. */
        void broken(DiscoveryCall call, String reason);

        /** The call has ended without being cancelled. */
        void ended(DiscoveryCall call);

        /** Something failed locally, as for lack of a descriptor; the call ends. */
        void failed(Throwable cause);
    }

    private final Transport transport;
    private final InetSocketAddress address;
    private final String uri;
    private final Caller caller;
    private final ListFramer framer = new ListFramer(this);
    private State state = State.CONNECTING;
    private Channel channel;
    private ScheduledFuture<?> silenceCheck;
    private boolean isSecondCheck;
    private long receivedAtNanos;

    /** 0 before the head of the response. */
    private long openedAtNanos;

    private DiscoveryCallOutcome outcome = DiscoveryCallOutcome.CLOSED;

    private DiscoveryCall(
            Transport transport, InetSocketAddress address, String uri, Caller caller) {
        this.transport = transport;
        this.address = address;
        this.uri = uri;
        this.caller = caller;
        this.receivedAtNanos = transport.nanoTime();
    }

    /** Starts a call; the caller is notified of its end later, never from within this method. */
    static DiscoveryCall dial(
            Transport transport, InetSocketAddress address, String uri, Caller caller) {
        DiscoveryCall call = new DiscoveryCall(transport, address, uri, caller);
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
            caller.failed(e); // out of descriptors
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

    /** Closes the call; its caller is notified of nothing more. */
    void cancel() {
        state = State.ENDED;
        cancelSilenceCheck();
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Milliseconds since the last complete event: a line, a head, the request written, the start of
     * the connect.
     */
    long quietMs() {
        return TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - receivedAtNanos);
    }

    /** Why the call ended, once it has. */
    DiscoveryCallOutcome outcome() {
        return outcome;
    }

    /** Milliseconds since the head of the response; 0 before it. */
    long openMs() {
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
        // If the write fails, as for lack of memory, the silence check would notice only later.
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
            caller.ended(this);
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

    /** Checks twice before closing: what arrived while the loop was blocked is read in between. */
    private void checkSilence() {
        long remainingMillis = state.maxSilenceMillis - quietMs();
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
    public void empty() {
        if (state != State.ENDED) {
            recordReceived();
            caller.empty(this);
        }
    }

    @Override
    public void object(byte[] json) {
        if (state != State.ENDED) {
            recordReceived();
            caller.object(this, json);
        }
    }

    @Override
    public void broken(String reason) {
        if (state != State.ENDED) {
            caller.broken(this, reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            caller.failed(cause);
        }
        ctx.close();
    }
}
