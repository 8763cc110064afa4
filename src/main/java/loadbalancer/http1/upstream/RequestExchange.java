package loadbalancer.http1.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import loadbalancer.AttemptOutcome;
import loadbalancer.proxy.HeaderField;
import loadbalancer.proxy.RequestBody;
import loadbalancer.proxy.RequestHead;
import loadbalancer.proxy.UpstreamTransport;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.PendingWrites;
import loadbalancer.transport.Transport;

/**
 * One attempt over HTTP/1.1: waits for its connection, writes the request, and reports its outcome
 * exactly once. This is the only class that writes to an endpoint, which {@code GuardsTest}
 * enforces. Used on the event loop only.
 */
final class RequestExchange implements UpstreamTransport.Attempt, RequestBody.Sink {
    private enum State {
        /** The attempt has no connection yet. */
        AWAITING_CONNECTION,
        /** The connection of the attempt is being established. */
        CONNECTING,
        /** The attempt has a connection; the request is being written or has been written. */
        SENDING,
        /** The attempt has ended or was abandoned; further events are ignored. */
        ENDED
    }

    private final EventLoop loop;
    private final MemoryQuota quota;
    private final HttpRequest head;
    private final RequestBody body;
    private final UpstreamTransport.Listener listener;
    private State state = State.AWAITING_CONNECTION;

    /** The channel that is closed if the attempt is abandoned; null if the attempt has none. */
    private Channel channel;

    /** The body bytes that are streamed; null before the request begins. */
    private PendingWrites pendingBytes;

    /**
     * The write of the request's last byte; null before that write. Its listeners may run one
     * event-loop iteration after its completion.
     */
    private ChannelPromise lastWrite;

    RequestExchange(
            Transport transport,
            RequestHead head,
            RequestBody body,
            UpstreamTransport.Listener listener) {
        this.loop = transport.loop();
        this.quota = transport.memoryQuota();
        this.head = toHttpRequest(head, body);
        this.body = body;
        this.listener = listener;
    }

    private static HttpRequest toHttpRequest(RequestHead head, RequestBody body) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (head.authority() != null) {
            headers.set(HttpHeaderNames.HOST, head.authority());
        }
        for (HeaderField field : head.fields()) {
            headers.set(field.name(), field.value());
        }
        if (head.bodied() && body.length() < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (head.bodied()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        }
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method()), head.target(), headers);
    }

    // Sending

    void connecting(Channel connectingChannel) {
        state = State.CONNECTING;
        channel = connectingChannel;
    }

    /** Writes the request, or releases the connection if the attempt may no longer begin. */
    void begin(UpstreamConnection connection) {
        if (listener.mayBegin() && state != State.ENDED) {
            state = State.SENDING;
            channel = connection.channel();
            pendingBytes = new PendingWrites(channel, quota, MemoryQuota.Purpose.IN_TRANSIT);
            connection.begin(this);
            announceTimeLeft();
            writeRequest();
        } else {
            channel = null; // the released connection may be used by another exchange
            connection.release();
            endLater(AttemptOutcome.CONNECT_FAILED);
        }
    }

    private void announceTimeLeft() {
        long millis = listener.timeLeftMillis();
        if (millis != UpstreamTransport.Listener.NOT_ANNOUNCED) {
            head.headers().set(RequestHead.TIME_LEFT, Long.toString(millis));
        }
        listener.attemptBegins(millis);
    }

    private void writeRequest() {
        if (body.isComplete() && body.isReplayable()) {
            writeLast(
                    new DefaultFullHttpRequest(
                            head.protocolVersion(),
                            head.method(),
                            head.uri(),
                            body.content(),
                            head.headers(),
                            EmptyHttpHeaders.INSTANCE));
        } else {
            channel.write(head)
                    .addListener(
                            future -> {
                                if (!future.isSuccess()) {
                                    connectionLost();
                                }
                            });
            body.attach(this);
            channel.flush();
        }
    }

    private void writeLast(Object message) {
        lastWrite = channel.newPromise();
        channel.writeAndFlush(message, lastWrite)
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                listener.requestWritten();
                            } else {
                                connectionLost();
                            }
                        });
    }

    @Override
    public void write(ByteBuf bytes) {
        int count = bytes.readableBytes();
        pendingBytes.started(count);
        channel.writeAndFlush(new DefaultHttpContent(bytes))
                .addListener(future -> writeEnded(count));
    }

    private void writeEnded(int count) {
        pendingBytes.ended(count);
        if (state == State.SENDING && !pendingBytes.isPending()) {
            body.writabilityChanged();
        }
    }

    @Override
    public void end() {
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public boolean isWritable() {
        return pendingBytes.isWritable();
    }

    /** Handles a change of the connection's writability. */
    void writabilityChanged() {
        body.writabilityChanged();
    }

    boolean isWritten() {
        return lastWrite != null && lastWrite.isSuccess();
    }

    UpstreamTransport.Listener listener() {
        return listener;
    }

    // End

    /**
     * Returns the outcome for a lost connection. An endpoint starts to process a request only when
     * it has received the last byte, so before that the attempt counts as not sent.
     */
    AttemptOutcome outcomeOfConnectionLoss() {
        return isWritten() ? AttemptOutcome.CONNECTION_RESET : AttemptOutcome.CONNECT_FAILED;
    }

    /** Ends the exchange because its connection is lost. */
    void connectionLost() {
        AttemptOutcome outcome = outcomeOfConnectionLoss();
        channel.close();
        endLater(outcome);
    }

    /** Abandons the attempt; its connection is closed before this method returns. */
    @Override
    public void abandon() {
        if (state != State.ENDED) {
            state = State.ENDED;
            body.detach(this);
            if (channel != null) {
                channel.close();
            }
        }
    }

    boolean isEnded() {
        return state == State.ENDED;
    }

    /**
     * Ends the attempt from a task, since a write can fail synchronously while the attempt is still
     * being started.
     */
    void endLater(AttemptOutcome outcome) {
        loop.execute(() -> endWith(outcome, null));
    }

    /** Ends the attempt unless it has ended; {@code response} is null if none was completed. */
    void endWith(AttemptOutcome outcome, UpstreamTransport.Response response) {
        if (state != State.ENDED) {
            state = State.ENDED;
            body.detach(this);
            listener.ended(outcome, response);
        }
    }
}
