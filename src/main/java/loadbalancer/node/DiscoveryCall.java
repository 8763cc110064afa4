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
 * One call to discovery on a connection of its own. It ends itself where nothing whole is heard for
 * too long: bytes that drip in without ever making a line are silence, too.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject>
        implements ListFramer.Output {
    /** Where a call stands; each state may stay quiet for so many milliseconds. */
    enum State {
        /** The connection is coming up; it has a time of its own for that. */
        DIALLING(Long.MAX_VALUE),
        /** The request is written, and the head of the answer not here. */
        ASKED(DiscoveryTimes.ANSWER_MS),
        /** The answer has begun, and says lines. */
        OPEN(DiscoveryTimes.SILENCE_MS),
        /** Nothing of it is heard any more. */
        ENDED(Long.MAX_VALUE);

        private final long mostQuiet;

        State(long mostQuiet) {
            this.mostQuiet = mostQuiet;
        }
    }

    /** Whoever makes calls hears of them here, up to their end. */
    interface Caller {
        /** Nothing has changed. */
        void empty(DiscoveryCall call);

        /** A JSON object, maybe a list. */
        void object(DiscoveryCall call, byte[] json);

        /** Something that can't be read, and why. */
        void broken(DiscoveryCall call, String why);

        /** The call has ended without being cancelled. */
        void ended(DiscoveryCall call);

        /** Something failed here, as for want of a descriptor; the call ends. */
        void failed(Throwable why);
    }

    private final Transport transport;
    private final InetSocketAddress address;
    private final String uri;
    private final Caller caller;
    private final ListFramer lines = new ListFramer(this);
    private State state = State.DIALLING;
    private Channel channel;
    private ScheduledFuture<?> look;
    private boolean lookedTwice;
    private long heardAt;
    private long openedAt;
    private DiscoveryCallOutcome why = DiscoveryCallOutcome.CLOSED;

    private DiscoveryCall(
            Transport transport, InetSocketAddress address, String uri, Caller caller) {
        this.transport = transport;
        this.address = address;
        this.uri = uri;
        this.caller = caller;
        this.heardAt = transport.nanoTime();
    }

    /** Makes a call, on the loop; its end is told later, never from in here. */
    static DiscoveryCall dial(
            Transport transport, InetSocketAddress address, String uri, Caller caller) {
        DiscoveryCall call = new DiscoveryCall(transport, address, uri, caller);
        ChannelFuture connecting;
        try {
            connecting =
                    transport.connect(
                            address,
                            DiscoveryTimes.DIAL_MS,
                            c -> c.pipeline().addLast(new HttpClientCodec(), call));
        } catch (ChannelException e) {
            call.why = DiscoveryCallOutcome.NOT_DIALLED;
            caller.failed(e); // out of descriptors
            transport.loop().execute(call::end);
            return call;
        }
        call.channel = connecting.channel();
        connecting.addListener(
                f -> {
                    if (f.isSuccess() && call.state == State.DIALLING) {
                        call.ask();
                    } else if (!f.isSuccess()) {
                        call.why = DiscoveryCallOutcome.NOT_CONNECTED;
                    }
                });
        call.channel.closeFuture().addListener(f -> call.end());
        return call;
    }

    /** Ends it; its caller hears nothing more. */
    void cancel() {
        state = State.ENDED;
        stopLooking();
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Milliseconds since the last that was whole: a line, a head, the request written, the dial
     * begun.
     */
    long quietMs() {
        return TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - heardAt);
    }

    /** Why it ended, once it has. */
    DiscoveryCallOutcome why() {
        return why;
    }

    /** For how long its answer has gone on, in milliseconds; 0 if it never began. */
    long openMs() {
        return openedAt == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - openedAt);
    }

    // ---- Transitions
    // -----------------------------------------------------------------------------------

    private void ask() {
        enter(State.ASKED);
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString());
        // Without memory for it nothing goes out, and nobody would be told before the answer is
        // overdue.
        channel.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    private void open() {
        enter(State.OPEN);
        openedAt = transport.nanoTime();
    }

    private void end() {
        if (state != State.ENDED) {
            state = State.ENDED;
            stopLooking();
            caller.ended(this);
        }
    }

    private void enter(State next) {
        state = next;
        heard();
        stopLooking();
        look = transport.loop().schedule(this::look, next.mostQuiet, TimeUnit.MILLISECONDS);
    }

    // ---- Silence
    // ---------------------------------------------------------------------------------------

    private void heard() {
        heardAt = transport.nanoTime();
        lookedTwice = false;
    }

    private void stopLooking() {
        if (look != null) {
            look.cancel(false);
        }
    }

    /** Looks a second time a moment later: what came while the loop stood still is read by then. */
    private void look() {
        long left = state.mostQuiet - quietMs();
        if (left <= 0 && lookedTwice) {
            why = DiscoveryCallOutcome.SILENT;
            channel.close();
            return;
        }
        lookedTwice = left <= 0;
        look = transport.loop().schedule(this::look, Math.max(1, left), TimeUnit.MILLISECONDS);
    }

    // ---- What discovery says
    // ---------------------------------------------------------------------------

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (state == State.ENDED) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            why = DiscoveryCallOutcome.GARBLED;
            ctx.close();
            return;
        }
        if (part instanceof HttpResponse head
                && head.status().code() != HttpResponseStatus.OK.code()) {
            why = DiscoveryCallOutcome.REFUSED;
            ctx.close();
            return;
        }
        if (part instanceof HttpResponse) {
            open();
        }
        if (part instanceof HttpContent content) {
            lines.add(content.content());
        }
        if (part instanceof LastHttpContent && state != State.ENDED) {
            lines.end();
            why = DiscoveryCallOutcome.ANSWERED;
            ctx.close();
        }
    }

    @Override
    public void empty() {
        if (state != State.ENDED) {
            heard();
            caller.empty(this);
        }
    }

    @Override
    public void object(byte[] json) {
        if (state != State.ENDED) {
            heard();
            caller.object(this, json);
        }
    }

    @Override
    public void broken(String why) {
        if (state != State.ENDED) {
            caller.broken(this, why);
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
