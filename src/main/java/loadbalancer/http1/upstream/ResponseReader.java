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

/**
 * Reads the response to one request: a small one is buffered, a large successful one is streamed to
 * the client as it arrives. Used on the event loop only; the buffered body belongs to whoever gets
 * the response.
 */
final class ResponseReader {
    /** A response that makes no progress for so long, though there is room, is aborted. */
    private static final long STALL_TIMEOUT_MILLIS = 10_000;

    private static final String UNPROCESSED_HEADER = "X-Unprocessed";
    private static final String LOAD_REPORT_HEADER = "X-Backend-Load";
    private static final int STATUS_OK = 200;
    private static final int STATUS_SWITCHING_PROTOCOLS =
            HttpResponseStatus.SWITCHING_PROTOCOLS.code();

    /** How far the response has been read. */
    enum State {
        /** Before the head, or amid an interim response (1xx). */
        AWAITING_HEAD,
        /** Its body so far is buffered, or dropped where nobody needs it. */
        BUFFERED,
        /** It goes to the client chunk by chunk. */
        STREAMING,
        /** All of it has been read. */
        COMPLETE,
        /** It is malformed, or cut short. */
        INVALID,
        /** It is valid, and nobody takes it. */
        UNWANTED
    }

    private final Transport transport;
    private final Channel channel;
    private final RequestExchange exchange;
    private State state = State.AWAITING_HEAD;
    private HttpResponse head;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private long receivedBytes;
    private long lastReceivedNanos;
    private ResponseStream stream;

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
    boolean isStreaming() {
        return stream != null;
    }

    /** Takes the next part, and returns how far the response has been read. */
    State read(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            state = State.INVALID;
        } else if (part instanceof HttpResponse response) {
            readHead(response);
        }
        if (part instanceof HttpContent content && head != null && state != State.INVALID) {
            readBody(content);
        }
        return state;
    }

    /** Interim responses are ignored. */
    private void readHead(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            state = isWellFormed(response) ? State.AWAITING_HEAD : State.INVALID;
        } else if (response.status().code() == STATUS_OK && !exchange.isWritten()) {
            state = State.INVALID; // an endpoint begins with the last byte: this response is for
            // another request
        } else {
            head = response;
            exchange.listener().responseHeadReceived();
            state = isWellFormed(response) ? State.BUFFERED : State.INVALID;
        }
    }

    private static boolean isWellFormed(HttpResponse response) {
        try {
            return response.protocolVersion().majorVersion() == 1
                    && response.status().code() != STATUS_SWITCHING_PROTOCOLS
                    && HttpUtil.getContentLength(response, -1L) <= RequestBody.MAX_BYTES;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    private void readBody(HttpContent content) {
        receivedBytes += content.content().readableBytes();
        lastReceivedNanos = transport.nanoTime();
        boolean last = content instanceof LastHttpContent;
        if (receivedBytes > RequestBody.MAX_BYTES
                || last && !channel.isActive() && !endsWithConnection()) {
            state = State.INVALID; // larger than any response may be, or cut short
            return;
        }
        long length = HttpUtil.getContentLength(head, -1L);
        if (stream == null
                && head.status().code() == STATUS_OK
                && (receivedBytes > RequestBody.MAX_BUFFERED_BYTES
                        || length > RequestBody.MAX_BUFFERED_BYTES)) {
            stream = exchange.listener().responseStarted(length);
            if (stream == null) {
                state = State.UNWANTED;
                return;
            }
            state = State.STREAMING;
            if (buffered.isReadable()) {
                stream.write(buffered);
                buffered = Unpooled.EMPTY_BUFFER;
            }
        }
        if (stream != null) {
            stream.write(content.content().retain());
            if (!last && !stream.isWritable(this::resume)) {
                channel.config().setAutoRead(false);
            }
        } else if (receivedBytes <= RequestBody.MAX_BUFFERED_BYTES) {
            buffer(content.content());
        }
        state = last ? State.COMPLETE : state;
    }

    /**
     * With neither a length nor chunks a response ends with its connection (RFC 9112, section 6.3),
     * and only a FIN is such an end. One that does not announce the close has lost its length: its
     * FIN may come at any byte, long after.
     */
    private boolean endsWithConnection() {
        return !HttpUtil.isKeepAlive(head)
                && !HttpUtil.isContentLengthSet(head)
                && !HttpUtil.isTransferEncodingChunked(head)
                && InboundSide.hasEnded(channel);
    }

    private void buffer(ByteBuf bytes) {
        if (bytes.isReadable()) {
            buffered =
                    buffered == Unpooled.EMPTY_BUFFER
                            ? Unpooled.buffer(bytes.readableBytes())
                            : buffered;
            buffered.writeBytes(bytes);
        }
    }

    private void resume() {
        lastReceivedNanos = transport.nanoTime();
        channel.config().setAutoRead(true);
    }

    /** How long the next bytes may still take; not positive once that time is up. */
    long stallTimeoutLeftMillis() {
        long left =
                STALL_TIMEOUT_MILLIS
                        - TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - lastReceivedNanos);
        return channel.config().isAutoRead() ? left : Math.max(1, left);
    }

    /** No more of it arrives, and it is incomplete. */
    void abort(AttemptOutcome outcome) {
        if (stream != null && !exchange.isEnded()) {
            stream.end(false);
        }
        exchange.endWith(outcome, null);
    }

    /** Hands on a complete response. */
    void complete() {
        if (stream != null && !exchange.isEnded()) {
            stream.end(true);
        }
        exchange.endWith(
                outcomeOfStatus(),
                new UpstreamTransport.Response(head.headers().get(LOAD_REPORT_HEADER), buffered));
    }

    /** Whether the endpoint keeps the connection open behind a complete response. */
    boolean keepsAlive() {
        return HttpUtil.isKeepAlive(head);
    }

    private AttemptOutcome outcomeOfStatus() {
        return switch (head.status().code()) {
            case STATUS_OK -> AttemptOutcome.SUCCESS;
            case 503, 504 ->
                    "1".equals(head.headers().get(UNPROCESSED_HEADER))
                            ? AttemptOutcome.REJECTED
                            : AttemptOutcome.ERROR;
            default -> AttemptOutcome.ERROR;
        };
    }
}
