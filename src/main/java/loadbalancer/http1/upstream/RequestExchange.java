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

/** One request on its way to an upstream, up to its one end. */
final class RequestExchange implements UpstreamTransport.Attempt, RequestBody.Sink {
    private enum Stage {
        /** Without a connection. */
        WAITING,
        /** The connection that is to carry it is being opened. */
        DIALLING,
        /** On its connection. */
        BEGUN,
        /** Over or given up: whatever still comes is no concern of this. */
        ENDED
    }

    private final EventLoop loop;
    private final HttpRequest head;
    private final RequestBody body;
    private final UpstreamTransport.Listener listener;
    private Stage stage = Stage.WAITING;

    /** Closed if this is given up; null while there is none, or none that is this one's alone. */
    private Channel channel;

    /**
     * The write of the request's last byte; null before. Its listeners may hear of it a turn late.
     */
    private ChannelPromise last;

    RequestExchange(
            EventLoop loop,
            RequestHead head,
            RequestBody body,
            UpstreamTransport.Listener listener) {
        this.loop = loop;
        this.head = message(head, body);
        this.body = body;
        this.listener = listener;
    }

    private static HttpRequest message(RequestHead head, RequestBody body) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (head.authority() != null) {
            headers.set(HttpHeaderNames.HOST, head.authority());
        }
        for (HeaderField f : head.fields()) {
            headers.set(f.name(), f.value());
        }
        if (head.bodied() && body.length() < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (head.bodied()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        }
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method()), head.target(), headers);
    }

    // ---- On its way
    // ----------------------------------------------------------------------------------

    void dialled(Channel dialling) {
        stage = Stage.DIALLING;
        channel = dialling;
    }

    /** On a connection that is up: the request goes out, or the connection stays for another. */
    void begin(UpstreamConnection connection) {
        if (listener.mayBegin() && stage != Stage.ENDED) {
            stage = Stage.BEGUN;
            channel = connection.channel();
            connection.carry(this);
            tellTimeLeft();
            write();
        } else {
            channel = null; // from now on it may be another's
            connection.release();
            endLater(AttemptOutcome.CONNECT_FAILED);
        }
    }

    private void tellTimeLeft() {
        long millis = listener.timeLeftMillis();
        if (millis != UpstreamTransport.Listener.UNTOLD) {
            head.headers().set(RequestHead.TIME_LEFT, Long.toString(millis));
        }
    }

    private void write() {
        if (body.isEnded() && body.isWhole()) {
            last(
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
                            f -> {
                                if (!f.isSuccess()) {
                                    broken();
                                }
                            });
            body.to(this);
            channel.flush();
        }
    }

    private void last(Object message) {
        last = channel.newPromise();
        channel.writeAndFlush(message, last)
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                listener.written();
                            } else {
                                broken();
                            }
                        });
    }

    @Override
    public void piece(ByteBuf bytes) {
        channel.writeAndFlush(new DefaultHttpContent(bytes));
    }

    @Override
    public void end() {
        last(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** The connection takes more again. */
    void drained() {
        body.drained();
    }

    boolean isWritten() {
        return last != null && last.isSuccess();
    }

    UpstreamTransport.Listener listener() {
        return listener;
    }

    // ---- Its end
    // -------------------------------------------------------------------------------------

    /**
     * What the loss of the connection means: before its last byte an upstream can't begin a
     * request.
     */
    AttemptOutcome lost() {
        return isWritten() ? AttemptOutcome.CONNECTION_RESET : AttemptOutcome.CONNECT_FAILED;
    }

    /** The connection is lost. */
    void broken() {
        AttemptOutcome outcome = lost();
        channel.close();
        endLater(outcome);
    }

    /** The socket is closed before this returns. */
    @Override
    public void abandon() {
        if (stage != Stage.ENDED) {
            stage = Stage.ENDED;
            body.leave(this);
            if (channel != null) {
                channel.close();
            }
        }
    }

    boolean isEnded() {
        return stage == Stage.ENDED;
    }

    /** Never from within the start of an attempt: a write can fail at once. */
    void endLater(AttemptOutcome outcome) {
        loop.execute(() -> end(outcome, null));
    }

    void end(AttemptOutcome outcome, UpstreamTransport.Answer answer) {
        if (stage != Stage.ENDED) {
            stage = Stage.ENDED;
            body.leave(this);
            listener.ended(outcome, answer);
        }
    }
}
