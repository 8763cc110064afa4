package loadbalancer.http1.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import loadbalancer.RequestDescriptor;
import loadbalancer.proxy.ResponseSink;
import loadbalancer.settings.InvalidInputException;

/**
 * Serves the requests of one client connection one at a time, in order, and receives the final
 * response of each. Used on the event loop only; {@link ClientConnection} owns the connection's
 * state and end.
 */
final class RequestSequencer implements ResponseSink {
    private static final String HEALTH_CHECK_PATH = "/healthz";

    private final ClientServer server;
    private final ClientConnection connection;
    private final Channel channel;
    private final RequestReader reader;
    private final ResponseWriter writer;

    /** The request in service, until its response is written. */
    private PipelinedRequest serving;

    /** The id of the request in service, until its final response is known. */
    private String servingId;

    /** The last byte of the request in service has been read and not yet been passed on. */
    private boolean bodyCompletionPending;

    /** From taking a request until the one after it may be taken. */
    private boolean busy;

    /** Whether the connection ends behind the streamed response under way. */
    private boolean endsAfterStream;

    RequestSequencer(
            ClientServer server,
            ClientConnection connection,
            Channel channel,
            RequestReader reader,
            ResponseWriter writer) {
        this.server = server;
        this.connection = connection;
        this.channel = channel;
        this.reader = reader;
        this.writer = writer;
    }

    /** Whether a request is in service, up to its written response. */
    boolean isServing() {
        return serving != null;
    }

    /**
     * Takes the next part of the stream.
     *
     * @throws RejectedRequestException if the client does not keep to the protocol
     */
    void read(HttpObject part) throws RejectedRequestException {
        PipelinedRequest completed = reader.read(part);
        if (completed != null && completed != serving) {
            completed.end();
        }
        // Of the request in service this is passed on once the read has ended, like one that
        // arrives whole.
        bodyCompletionPending |= completed != null && completed == serving;
        if (part instanceof HttpRequest head
                && !busy
                && reader.hasOneQueued()
                && HttpUtil.is100ContinueExpected(head)) {
            writer.writeContinue();
        }
    }

    /**
     * Nothing is served before all that arrived with it has been read. The end of the connection,
     * if it came along, is reported only behind this call; so this goes on from a task.
     */
    void readCompleted() {
        if (bodyCompletionPending || !reader.isQueueEmpty()) {
            channel.eventLoop().execute(this::serveNext);
        }
    }

    private void serveNext() {
        if (bodyCompletionPending && connection.isHere()) {
            bodyCompletionPending = false;
            connection.leaveActivity();
            serving.end();
            if (servingId != null) {
                server.dispatcher().bodyReceived(servingId);
            }
        }
        // Asking whether the client is here reads, and may change what is ready.
        while (mayServeNext() && connection.isHere() && mayServeNext()) {
            serve(reader.poll());
        }
        reader.updateFlow();
    }

    /** Whether a request is ready and none is in service. */
    boolean mayServeNext() {
        return !busy && connection.isOpen() && reader.isNextReady();
    }

    private void serve(PipelinedRequest incoming) {
        RequestDescriptor request;
        try {
            QueryStringDecoder uri = new QueryStringDecoder(RequestValidator.target(incoming.head));
            // Throws on escapes that can't be decoded, which ends in a response too.
            if (uri.path().equals(HEALTH_CHECK_PATH)) {
                respondToHealthCheck(incoming);
                return;
            }
            request = server.validate(incoming, uri);
        } catch (InvalidInputException | IllegalArgumentException e) {
            incoming.body.release();
            connection.reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            return;
        }
        busy = true;
        if (!reader.isIncoming(incoming)) {
            connection.leaveActivity();
        }
        serving = incoming;
        servingId = request.id();
        server.dispatcher()
                .requestReceived(
                        request, RequestValidator.forwarded(incoming.head), incoming.body, this);
    }

    private void respondToHealthCheck(PipelinedRequest incoming) {
        incoming.body.release();
        boolean ready = server.whyNotReady().isEmpty();
        connection.endAfterResponse(); // rare, so not worth a connection that is kept
        respond(
                ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                Unpooled.EMPTY_BUFFER,
                0);
    }

    /** Nothing more is taken from this client, and what it has in flight is given up. */
    void abandonRequests() {
        releaseRequests();
        if (servingId != null) {
            String id = servingId;
            servingId = null;
            server.dispatcher().clientDisconnected(id);
        }
    }

    /** Drops the requests that are not in service, and what is missing of the one that is. */
    void releaseRequests() {
        reader.release();
        if (bodyCompletionPending) {
            bodyCompletionPending = false;
            serving.release();
        }
    }

    @Override
    public boolean isClientConnected() {
        return connection.isHere();
    }

    @Override
    public void respondSuccess(ByteBuf body) {
        respond(HttpResponseStatus.OK, body, 0);
    }

    @Override
    public void respondRejected(long retryAfterMicros) {
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, retryAfterMicros);
    }

    @Override
    public void respondFailed() {
        respond(HttpResponseStatus.GATEWAY_TIMEOUT, Unpooled.EMPTY_BUFFER, 0);
    }

    /** Writes a complete response and ends the service of its request. */
    void respond(HttpResponseStatus status, ByteBuf body, long retryAfterMicros) {
        servingId = null;
        boolean last = isLastResponse();
        writer.write(status, body, retryAfterMicros, last, () -> responseWritten(last));
    }

    @Override
    public void startResponse(long length) {
        endsAfterStream = isLastResponse();
        writer.writeHead(length, endsAfterStream);
    }

    @Override
    public void write(ByteBuf bytes) {
        writer.writeContent(bytes);
    }

    @Override
    public void end(boolean complete) {
        servingId = null;
        if (complete) {
            boolean last = endsAfterStream;
            writer.writeEnd(() -> responseWritten(last));
        } else {
            connection.close(); // short of what its head says, so the client can tell
        }
    }

    @Override
    public boolean isWritable(Runnable resume) {
        return writer.isWritable(resume);
    }

    /** Whether the connection ends behind the response that is about to be written. */
    private boolean isLastResponse() {
        boolean bodyUnread = reader.isIncoming(serving);
        boolean leaving = server.isLeaving() && reader.isQueueEmpty();
        return leaving
                || !connection.isOpen()
                || bodyUnread
                || serving != null && !HttpUtil.isKeepAlive(serving.head);
    }

    private void responseWritten(boolean last) {
        if (bodyCompletionPending) {
            bodyCompletionPending = false; // the response came before all of the body was passed on
            serving.release();
        }
        serving = null;
        writer.responseCompleted();
        connection.responseWritten(last, reader.isMidRequest());
        // Not from within the policy's event: the next request is an event of its own.
        channel.eventLoop().execute(this::becomeFree);
    }

    private void becomeFree() {
        busy = false;
        serveNext();
    }
}
