package loadbalancer.http1.upstream;

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
import loadbalancer.transport.AccumulationBuffer;
import loadbalancer.transport.InboundSide;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.Transport;

/**
 * Reads the response to one request. A small response is buffered; a large successful one, or one
 * that there is no memory to buffer, is streamed to the client as it arrives. Used on the event
 * loop only; the receiver of the response owns the buffered body.
 */
final class ResponseReader {
    /** Time without received bytes, while reading is enabled, after which a response is aborted. */
    private static final long STALL_TIMEOUT_MILLIS = 10_000;

    /** Size in bytes up to which a response is buffered even if the memory quota is exhausted. */
    private static final int ALWAYS_BUFFERED_BYTES = 4 * 1024;

    /** Size in bytes below which a response of unknown length counts as short. */
    private static final int LONG_RESPONSE_BYTES = 16 * 1024;

    private static final String UNPROCESSED_HEADER = "X-Unprocessed";
    private static final String LOAD_REPORT_HEADER = "X-Backend-Load";
    private static final int STATUS_OK = 200;
    private static final int STATUS_SWITCHING_PROTOCOLS =
            HttpResponseStatus.SWITCHING_PROTOCOLS.code();

    /** The progress of reading the response. */
    enum State {
        /** Waiting for the head of the final response; interim responses (1xx) may precede it. */
        AWAITING_HEAD,
        /** The body is being buffered, or dropped if it is an error body above the limit. */
        BUFFERED,
        /** The body is being streamed to the client. */
        STREAMING,
        /** The response has been read completely. */
        COMPLETE,
        /** The response is malformed or truncated. */
        INVALID,
        /** The response is valid, but its receiver declined to stream it. */
        UNWANTED
    }

    private final Transport transport;
    private final Channel channel;
    private final RequestExchange exchange;
    private final AccumulationBuffer buffered;
    private State state = State.AWAITING_HEAD;
    private HttpResponse head;
    private long receivedBytes;
    private long lastReceivedNanos;

    /** Whether the response is streamed although it might be small. */
    private boolean isLong;

    private ResponseStream stream;

    ResponseReader(Transport transport, Channel channel, RequestExchange exchange) {
        this.transport = transport;
        this.channel = channel;
        this.exchange = exchange;
        this.buffered =
                new AccumulationBuffer(transport.memoryQuota(), MemoryQuota.Purpose.RESPONSE);
    }

    RequestExchange exchange() {
        return exchange;
    }

    State state() {
        return state;
    }

    /** Whether streaming of the response to the client has begun. */
    boolean isStreaming() {
        return stream != null;
    }

    /** Reads the next part of the response and returns the new state. */
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

    /** Reads a head; interim responses are ignored. */
    private void readHead(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            state = isWellFormed(response) ? State.AWAITING_HEAD : State.INVALID;
        } else if (response.status().code() == STATUS_OK && !exchange.isWritten()) {
            // An endpoint starts processing when it has received the last byte of a request, so
            // this response belongs to another request.
            state = State.INVALID;
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
            state = State.INVALID; // exceeds the size limit or is truncated
            return;
        }
        boolean mayBuffer =
                stream == null
                        && !isLong
                        && receivedBytes <= RequestBody.MAX_BUFFERED_BYTES
                        && length() <= RequestBody.MAX_BUFFERED_BYTES
                        && hasMemory(content.content().readableBytes());
        if (stream == null && head.status().code() == STATUS_OK && !mayBuffer && !startStream()) {
            return;
        }
        if (stream != null) {
            stream.write(content.content().retain());
            if (!last && !stream.isWritable(this::resume)) {
                channel.config().setAutoRead(false);
            }
        } else if (mayBuffer) {
            buffered.add(content.content());
        }
        state = last ? State.COMPLETE : state;
    }

    private long length() {
        return HttpUtil.getContentLength(head, -1L);
    }

    /** Begins to pass the response on; returns false if the receiver declines it. */
    private boolean startStream() {
        stream = exchange.listener().responseStarted(length());
        state = stream == null ? State.UNWANTED : State.STREAMING;
        if (stream != null && buffered.size() > 0) {
            stream.write(buffered.take());
        }
        return stream != null;
    }

    /**
     * Returns whether the response may be a long one: successful, of unknown length, and not
     * complete.
     */
    boolean mayBeLong() {
        return state == State.BUFFERED && head.status().code() == STATUS_OK && length() < 0;
    }

    /**
     * Passes on what has arrived of a response that {@link #mayBeLong}, and from then on all that
     * arrives, because its client must not wait for the rest. Returns the new state.
     */
    State treatAsLong() {
        isLong = true;
        if (buffered.size() > 0) {
            startStream();
        }
        return state;
    }

    /** Returns whether the response is incomplete and has not turned out to be a long one. */
    boolean isShortSoFar() {
        return (state == State.BUFFERED || state == State.STREAMING)
                && isLong
                && receivedBytes < LONG_RESPONSE_BYTES;
    }

    private boolean hasMemory(int byteCount) {
        return receivedBytes <= ALWAYS_BUFFERED_BYTES || buffered.tryReserve(byteCount);
    }

    /**
     * Whether the end of the connection is a valid end of the response. A response with neither a
     * length nor chunked encoding ends with its connection (RFC 9112, section 6.3), and only with a
     * FIN. A response that does not announce the close has lost its length, so a FIN may follow any
     * of its bytes.
     */
    private boolean endsWithConnection() {
        return !HttpUtil.isKeepAlive(head)
                && !HttpUtil.isContentLengthSet(head)
                && !HttpUtil.isTransferEncodingChunked(head)
                && InboundSide.hasEnded(channel);
    }

    private void resume() {
        lastReceivedNanos = transport.nanoTime();
        channel.config().setAutoRead(true);
    }

    /** Returns the time left until the response counts as stalled; 0 or negative if it does. */
    long stallTimeoutLeftMillis() {
        long left =
                STALL_TIMEOUT_MILLIS
                        - TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - lastReceivedNanos);
        return channel.config().isAutoRead() ? left : Math.max(1, left);
    }

    /** Ends the attempt after an incomplete response. */
    void abort(AttemptOutcome outcome) {
        if (stream != null && !exchange.isEnded()) {
            stream.end(false);
        }
        buffered.take();
        exchange.endWith(outcome, null);
    }

    /** Drops a response whose connection is lost before any of it was passed on. */
    void connectionLost() {
        buffered.take();
        exchange.connectionLost();
    }

    /** Ends the attempt with a complete response. */
    void complete() {
        if (stream != null && !exchange.isEnded()) {
            stream.end(true);
        }
        exchange.endWith(
                outcomeOfStatus(),
                new UpstreamTransport.Response(
                        head.headers().get(LOAD_REPORT_HEADER), buffered.take()));
    }

    /** Whether the endpoint keeps the connection open after a complete response. */
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
