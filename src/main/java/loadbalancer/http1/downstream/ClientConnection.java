package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.RequestDescriptor;
import loadbalancer.proxy.RequestBody;
import loadbalancer.proxy.ResponseSink;
import loadbalancer.settings.InvalidInputException;

/** One client connection; answers go out in the order of its requests. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
        implements ResponseSink {
    private static final System.Logger LOG = System.getLogger(ClientConnection.class.getName());

    /** Requests that may wait behind the one in work; a client that sends more is no usual one. */
    private static final int MAX_PIPELINED = 8;

    /**
     * A client counts as gone 0.1 s after its close. Where the loop has not come to read a
     * connection for a fifth of that, it is looked at before anything is done for it.
     */
    private static final long LOOK_MS = 20;

    private final ClientServer server;
    private final Channel channel;
    private final InboundByteMonitor intake;
    private final ResponseAudit audit;
    private final Deque<PipelinedRequest> waiting = new ArrayDeque<>();

    /** The request of which more is to come. */
    private PipelinedRequest reading;

    /** The request in work, and its id until its answer is whole. */
    private PipelinedRequest serving;

    private String current;

    /** All of the request in work has come, which its upstream is still to be told. */
    private boolean receives;

    private boolean busy;
    private ConnectionState stage = ConnectionState.OPEN;

    /** Whether any of an answer has been written that is not written whole. */
    private boolean answering;

    private Runnable resume;
    private int pendingWrites;

    /** Whether the connection ends behind the large answer under way. */
    private boolean lastAnswer;

    /** When the connection came into the one of the sets that it is in. */
    private long since;

    ClientConnection(ClientServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
        this.intake = new InboundByteMonitor(server.transport, this::bytesCome);
        this.audit = new ResponseAudit(server.driver.violations(), server.transport::nanoTime);
    }

    // ---- How long it has been doing what
    // -------------------------------------------------------------

    private void enter(Set<ClientConnection> set) {
        leave();
        since = server.transport.nanoTime();
        set.add(this);
    }

    private void leave() {
        server.silent.remove(this);
        server.idle.remove(this);
        server.unread.remove(this);
        server.lingering.remove(this);
    }

    long sinceMs() {
        return TimeUnit.NANOSECONDS.toMillis(server.transport.nanoTime() - since);
    }

    /** How long nothing has come, though there was room for it. */
    long quietMs() {
        return intake.quietMs();
    }

    boolean isNew() {
        return !intake.anyByte();
    }

    boolean readsHead() {
        return reading == null;
    }

    /** Sees all bytes, also those that are not yet a message. */
    InboundByteMonitor intake() {
        return intake;
    }

    /** Sees all messages, as they come and as they go. */
    ResponseAudit audit() {
        return audit;
    }

    private void bytesCome() {
        if (server.idle.contains(this)) {
            enter(server.silent);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        enter(server.silent);
        server.opened(this);
    }

    // ---- Its end
    // -------------------------------------------------------------------------------------

    /** Reads what has come, also when it is not yet the loop's turn; whether anything had. */
    boolean look() {
        return intake.look();
    }

    @Override
    public boolean isHere() {
        if (intake.unlookedMs() >= LOOK_MS) {
            look();
        }
        return channel.isOpen();
    }

    /**
     * Ends a connection that waits for a request. What has come by now is read, and keeps the
     * connection if it is a request's beginning; what comes later is dropped and its client's to
     * send again.
     */
    void retire() {
        retire(this::linger);
    }

    /**
     * The same where its place is needed at once: what comes later stays unread, and may meet a
     * reset.
     */
    void makeWay() {
        retire(this::close);
    }

    private void retire(Runnable end) {
        if (look() || mayTake()) {
            return;
        }
        if (!channel.isOpen()) {
            close();
        } else if (rests()) {
            end.run();
        } else {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "no request");
        }
    }

    /** Whether there is no request on it, and no part of one. */
    private boolean rests() {
        return isNew() || server.idle.contains(this);
    }

    /** Whether there is a part of a request, and none in work. */
    boolean isHalfCome() {
        return !isNew() && serving == null && stage == ConnectionState.OPEN && !mayTake();
    }

    /** Closes; counts as closed at once, while the channel says so a little later. */
    void close() {
        stage = ConnectionState.CLOSED;
        server.closing(this);
        leave();
        channel.close();
    }

    /**
     * Our side is shut behind the last answer. Closed at once, with bytes unread or still to come,
     * the connection would be reset and take the answer along; so what comes is dropped until the
     * client closes.
     */
    private void linger() {
        audit.closing(channel.isActive());
        release();
        stage = ConnectionState.LINGERING;
        intake.drop();
        leave();
        if (channel.isActive()) {
            enter(server.lingering);
            ((DuplexChannel) channel).shutdownOutput();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stage = ConnectionState.CLOSED;
        leave();
        intake.drop();
        giveUp();
        server.closed(this);
    }

    /** Nothing more is taken from this client, and what it has open is given up. */
    private void giveUp() {
        release();
        if (current != null) {
            String id = current;
            current = null;
            server.driver.gone(id);
        }
    }

    /** Forgets the requests that are not in work, and what is missing of the one that is. */
    private void release() {
        waiting.forEach(PipelinedRequest::release);
        waiting.clear();
        if (receives) {
            receives = false;
            serving.release();
        }
        reading = null;
    }

    // ---- Requests
    // ------------------------------------------------------------------------------------

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (stage != ConnectionState.OPEN) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            // What follows can't be told apart, and what came before may be part of something else.
            reject(HttpResponseStatus.BAD_REQUEST, "malformed request");
        } else if (part instanceof HttpRequest head) {
            begin(head);
        } else if (part instanceof HttpContent content && reading != null) {
            PipelinedRequest incoming = reading;
            if (incoming.body.came() + content.content().readableBytes() > RequestBody.MOST) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
            } else if (part instanceof LastHttpContent) {
                reading = null;
                incoming.keepLast(content.content(), server.transport.nanoTime());
                if (incoming == serving) {
                    receives =
                            true; // told once the read has ended, like a request that comes whole
                } else {
                    incoming.end();
                }
            } else {
                incoming.body.add(content.content().retain());
                readOn();
            }
        }
    }

    private void begin(HttpRequest head) {
        long length;
        try {
            length = HttpUtil.getContentLength(head, 0L);
        } catch (NumberFormatException e) {
            reject(HttpResponseStatus.BAD_REQUEST, "malformed request");
            return;
        }
        boolean chunked = HttpUtil.isTransferEncodingChunked(head);
        if (length > RequestBody.MOST) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
        } else if (head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && (!chunked || HttpUtil.isContentLengthSet(head))) {
            reject(HttpResponseStatus.BAD_REQUEST, "body with no clear end");
        } else if (waiting.size() > MAX_PIPELINED) {
            reject(HttpResponseStatus.BAD_REQUEST, "too many requests at once");
        } else {
            reading =
                    new PipelinedRequest(
                            head,
                            new RequestBody(
                                    chunked ? -1 : length,
                                    server.transport::nanoTime,
                                    this::readOn));
            waiting.add(reading);
            if (HttpUtil.is100ContinueExpected(head) && !busy && waiting.size() == 1) {
                channel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.CONTINUE,
                                Unpooled.EMPTY_BUFFER));
            }
        }
    }

    /**
     * Nothing is taken before all that came with it has been seen. The end of the connection, if it
     * came along, is told only behind this call; so this goes on from a task.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (receives || !waiting.isEmpty()) {
            channel.eventLoop().execute(this::next);
        }
    }

    private void next() {
        if (receives && isHere()) {
            receives = false;
            leave();
            serving.end();
            if (current != null) {
                server.driver.received(current);
            }
        }
        while (mayTake() && isHere() && mayTake()) {
            take(waiting.poll());
        }
        readOn();
    }

    private boolean mayTake() {
        return !busy
                && stage == ConnectionState.OPEN
                && !waiting.isEmpty()
                && (waiting.peek().body.isEnded()
                        || waiting.peek().body.came() > RequestBody.SMALL);
    }

    /**
     * Reads as long as there is room for what comes; of an answered request's rest all is dropped.
     */
    private void readOn() {
        if (waiting.size() < MAX_PIPELINED && (reading == null || reading.body.wantsMore())) {
            intake.open();
        } else {
            intake.hold();
        }
    }

    private void take(PipelinedRequest incoming) {
        RequestDescriptor request;
        try {
            QueryStringDecoder uri = new QueryStringDecoder(RequestValidator.target(incoming.head));
            // Throws on escapes that can't be decoded; from here that still ends in an answer.
            if (uri.path().equals("/healthz")) {
                incoming.body.release();
                boolean ready = server.whyNotReady().isEmpty();
                stage = ConnectionState.ENDING; // asked seldom: not worth a connection kept
                intake.drop();
                answer(
                        ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        Unpooled.EMPTY_BUFFER,
                        0);
                return;
            }
            request =
                    inTime(
                            server.check.request(incoming.head, uri, incoming.body.length() != 0),
                            incoming);
            if (server.driver.isOpen(request.id())) {
                throw new InvalidInputException("a request with this id is open");
            }
        } catch (InvalidInputException | IllegalArgumentException e) {
            incoming.body.release();
            reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            return;
        }
        busy = true;
        if (incoming != reading) {
            leave();
        }
        serving = incoming;
        current = request.id();
        server.driver.request(
                request, RequestValidator.forwarded(incoming.head), incoming.body, this);
    }

    /** The request with the time that is left of it: it may have waited here behind others. */
    private RequestDescriptor inTime(RequestDescriptor request, PipelinedRequest incoming) {
        long waited =
                incoming.body.isEnded()
                        ? TimeUnit.NANOSECONDS.toMillis(
                                server.transport.nanoTime() - incoming.wholeAt)
                        : 0;
        return waited == 0
                ? request
                : request.withTimeLeft(Math.max(0, request.timeLeftMicros() - waited * 1_000));
    }

    /** For a client that does not keep to the protocol: it would only send more of the kind. */
    void reject(HttpResponseStatus status, String why) {
        if (stage != ConnectionState.OPEN) {
            return;
        }
        stage = ConnectionState.ENDING;
        intake.drop();
        if (answering) {
            release(); // an answer is under way: this one can't come behind half of it, and the end
            // does
        } else {
            giveUp();
            answer(status, Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8), 0);
        }
    }

    // ---- Answers
    // -------------------------------------------------------------------------------------

    @Override
    public void served(ByteBuf body) {
        answer(HttpResponseStatus.OK, body, 0);
    }

    @Override
    public void refused(long retryAfter) {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, retryAfter);
    }

    @Override
    public void failed() {
        answer(HttpResponseStatus.GATEWAY_TIMEOUT, Unpooled.EMPTY_BUFFER, 0);
    }

    private void answer(HttpResponseStatus status, ByteBuf body, long retryAfter) {
        current = null;
        DefaultFullHttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (retryAfter > 0) {
            answer.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            BigDecimal.valueOf(retryAfter, 6).toPlainString());
        }
        boolean last = isLast(answer);
        write(answer, () -> done(last));
    }

    /** Whether the connection ends behind this answer, and says so in its head. */
    private boolean isLast(HttpResponse answer) {
        boolean unsent = reading != null && reading == serving;
        boolean owesMore = !waiting.isEmpty(); // those that were read are answered first
        boolean last =
                server.drain.isLeaving() && !owesMore
                        || stage != ConnectionState.OPEN
                        || unsent
                        || serving != null && !HttpUtil.isKeepAlive(serving.head);
        if (last) {
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return last;
    }

    private void write(Object message, Runnable then) {
        answering = true;
        if (pendingWrites++ == 0) {
            enter(server.unread);
        }
        channel.writeAndFlush(message)
                .addListener(
                        f -> {
                            pendingWrites--;
                            if (!f.isSuccess()) {
                                close();
                                return;
                            }
                            leave();
                            if (pendingWrites > 0) {
                                enter(server.unread); // it reads: its time begins anew
                            }
                            then.run();
                        });
    }

    private void done(boolean last) {
        if (receives) {
            receives = false; // answered before all of it was passed on
            serving.release();
        }
        serving = null;
        answering = false;
        if (last || stage == ConnectionState.ENDING) {
            linger();
        } else if (channel.isActive()) {
            enter(reading == null ? server.idle : server.silent);
        }
        // Not from within the module's event: the next request on this connection is one of its
        // own.
        channel.eventLoop()
                .execute(
                        () -> {
                            busy = false;
                            next();
                        });
    }

    // ---- Large answers
    // -------------------------------------------------------------------------------

    @Override
    public void serving(long length) {
        DefaultHttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (length < 0) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else {
            HttpUtil.setContentLength(head, length);
        }
        lastAnswer = isLast(head);
        write(head, () -> {});
    }

    @Override
    public void piece(ByteBuf bytes) {
        write(new DefaultHttpContent(bytes), () -> {});
    }

    @Override
    public void end(boolean whole) {
        current = null;
        if (whole) {
            boolean last = lastAnswer;
            write(LastHttpContent.EMPTY_LAST_CONTENT, () -> done(last));
        } else {
            close(); // short of what its head says: the client can tell
        }
    }

    @Override
    public boolean isWritable(Runnable whenWritable) {
        resume = channel.isWritable() ? null : whenWritable;
        return resume == null;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (resume != null && channel.isWritable()) {
            Runnable go = resume;
            resume = null;
            go.run();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof CodecException)) {
            LOG.log(System.Logger.Level.ERROR, "closed a client connection after a failure", cause);
        }
        close();
    }
}
