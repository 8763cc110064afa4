package loadbalancer.http1.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;
import loadbalancer.AttemptOutcome;
import loadbalancer.proxy.RequestBody;
import loadbalancer.proxy.ResponseStream;
import loadbalancer.proxy.UpstreamTransport;
import loadbalancer.transport.InboundSide;
import loadbalancer.transport.Transport;

/** Reads the answer to one request: a small one is held, a large good one passed on as it comes. */
final class ResponseReader {
    /**
     * An answer of which nothing more comes for so long, though there is room for it, is broken
     * off.
     */
    private static final long STALLED_MS = 10_000;

    private static final String NOT_RUN = "X-Unprocessed";
    private static final String LOAD = "X-Backend-Load";
    private static final int OK = 200;
    private static final int SWITCHING = HttpResponseStatus.SWITCHING_PROTOCOLS.code();

    /** How far it has come. */
    enum State {
        /** Before its head, or amid an interim answer. */
        AWAITED,
        /** All of its body so far is held, or dropped where nobody needs it. */
        HELD,
        /** It is passed on piece by piece. */
        STREAMED,
        /** It has come to its end. */
        WHOLE,
        /** It can't be trusted, or breaks off. */
        SPOILT,
        /** It is good, and nobody takes it. */
        UNWANTED
    }

    private final Transport transport;
    private final Channel channel;
    private final RequestExchange exchange;
    private State state = State.AWAITED;
    private HttpResponse head;
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private long came;
    private long cameAt;
    private ResponseStream download;

    ResponseReader(Transport transport, Channel channel, RequestExchange exchange) {
        this.transport = transport;
        this.channel = channel;
        this.exchange = exchange;
    }

    RequestExchange exchange() {
        return exchange;
    }

    State state() {
        return state;
    }

    /** Whether it has begun to go to its client. */
    boolean isPassedOn() {
        return download != null;
    }

    /** Takes the next part, and returns how far the answer has come. */
    State read(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            state = State.SPOILT;
        } else if (part instanceof HttpResponse response) {
            begin(response);
        }
        if (part instanceof HttpContent content && head != null && state != State.SPOILT) {
            body(content);
        }
        return state;
    }

    /** Interim answers are passed over. */
    private void begin(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            state = isTrusted(response) ? State.AWAITED : State.SPOILT;
        } else if (response.status().code() == OK && !exchange.isWritten()) {
            state = State.SPOILT; // a request begins with its last byte: this was made for another
        } else {
            head = response;
            exchange.listener().began();
            state = isTrusted(response) ? State.HELD : State.SPOILT;
        }
    }

    private static boolean isTrusted(HttpResponse response) {
        try {
            return response.protocolVersion().majorVersion() == 1
                    && response.status().code() != SWITCHING
                    && HttpUtil.getContentLength(response, -1L) <= RequestBody.MOST;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    private void body(HttpContent content) {
        came += content.content().readableBytes();
        cameAt = transport.nanoTime();
        boolean last = content instanceof LastHttpContent;
        if (came > RequestBody.MOST || last && !channel.isActive() && !endsWithItsConnection()) {
            state = State.SPOILT; // more than anything can be, or cut short
            return;
        }
        long length = HttpUtil.getContentLength(head, -1L);
        if (download == null
                && head.status().code() == OK
                && (came > RequestBody.SMALL || length > RequestBody.SMALL)) {
            download = exchange.listener().opened(length);
            if (download == null) {
                state = State.UNWANTED;
                return;
            }
            state = State.STREAMED;
            if (held.isReadable()) {
                download.piece(held);
                held = Unpooled.EMPTY_BUFFER;
            }
        }
        if (download != null) {
            download.piece(content.content().retain());
            if (!last && !download.isWritable(this::resume)) {
                channel.config().setAutoRead(false);
            }
        } else if (came <= RequestBody.SMALL) {
            hold(content.content());
        }
        state = last ? State.WHOLE : state;
    }

    /**
     * With neither a length nor chunks an answer ends with its connection, and only a FIN is such
     * an end. One that does not announce the close has lost its length: its FIN may come at any
     * byte, long after.
     */
    private boolean endsWithItsConnection() {
        return !HttpUtil.isKeepAlive(head)
                && !HttpUtil.isContentLengthSet(head)
                && !HttpUtil.isTransferEncodingChunked(head)
                && InboundSide.hasEnded(channel);
    }

    private void hold(ByteBuf bytes) {
        if (bytes.isReadable()) {
            held = held == Unpooled.EMPTY_BUFFER ? Unpooled.buffer(bytes.readableBytes()) : held;
            held.writeBytes(bytes);
        }
    }

    private void resume() {
        cameAt = transport.nanoTime();
        channel.config().setAutoRead(true);
    }

    /** So many milliseconds something more may take to come; not positive if that time is up. */
    long patienceMs() {
        long left = STALLED_MS - TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - cameAt);
        return channel.config().isAutoRead() ? left : Math.max(1, left);
    }

    /** No more of it comes, and it is not whole. */
    void breakOff(AttemptOutcome outcome) {
        if (download != null && !exchange.isEnded()) {
            download.end(false);
        }
        exchange.end(outcome, null);
    }

    /** Hands on a whole one. */
    void finish() {
        if (download != null && !exchange.isEnded()) {
            download.end(true);
        }
        exchange.end(outcome(), new UpstreamTransport.Answer(head.headers().get(LOAD), held));
    }

    /** Whether the upstream keeps the connection behind a whole one. */
    boolean keepsConnection() {
        return HttpUtil.isKeepAlive(head);
    }

    private AttemptOutcome outcome() {
        return switch (head.status().code()) {
            case OK -> AttemptOutcome.SUCCESS;
            case 503, 504 ->
                    "1".equals(head.headers().get(NOT_RUN))
                            ? AttemptOutcome.REJECTED
                            : AttemptOutcome.ERROR;
            default -> AttemptOutcome.ERROR;
        };
    }
}
