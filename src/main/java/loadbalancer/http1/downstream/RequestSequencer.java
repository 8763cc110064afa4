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
 * Dispatches the requests of one client connection one at a time, in order, and receives the final
 * response of each. Used on the event loop only; {@link ClientConnection} owns the state of the
 * connection and closes it.
 */
final class RequestSequencer implements ResponseSink {
    private final ClientServer server;
    private final ClientConnection connection;
    private final Channel channel;
    private final RequestReader reader;
    private final ResponseWriter writer;

    /** The request in service; null after its response has been written. */
    private PipelinedRequest serving;

    /** The id of the request in service; null once its final response is known. */
    private String servingId;

    /** Whether the last bytes of the request in service have been read but not yet passed on. */
    private boolean bodyCompletionPending;

    /** True from the start of service of a request until the next one may be served. */
    private boolean busy;

    /** Whether the connection ends after the response that is being streamed. */
    private boolean closesAfterStream;

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

    /** Whether a request is in service, which lasts until its response has been written. */
    boolean isServing() {
        return serving != null;
    }

    /** Whether the next request has to wait, because the service of another has not ended. */
    boolean isBusy() {
        return busy;
    }

    /**
     * Reads the next part of the inbound stream.
     *
     * @throws RejectedRequestException if the client violates the protocol
     */
    void read(HttpObject part) throws RejectedRequestException {
        PipelinedRequest completed = reader.read(part);
        if (completed != null && completed != serving) {
            completed.completeBody();
        }
        // The end of a request in service is passed on after the read has ended, as is a request
        // that arrives as a whole.
        bodyCompletionPending |= completed != null && completed == serving;
        if (part instanceof HttpRequest head
                && !busy
                && reader.hasOneQueued()
                && !reader.isNextReady()
                && HttpUtil.is100ContinueExpected(head)) {
            writer.writeContinue();
        }
    }

    /**
     * Handles the end of a read. Serving continues in a task: if the client closed the connection
     * right after its request, the channel reports the close only after this call, and the request
     * must not be served.
     */
    void readCompleted() {
        if (bodyCompletionPending || !reader.isQueueEmpty()) {
            channel.eventLoop().execute(this::serveNext);
        }
    }

    private void serveNext() {
        if (bodyCompletionPending && connection.isClientConnected()) {
            bodyCompletionPending = false;
            connection.leaveActivity();
            serving.completeBody();
            if (servingId != null) {
                server.dispatcher().bodyReceived(servingId);
            }
        }
        // isClientConnected may read from the socket, which can change which request is ready.
        while (canServeNext() && connection.isClientConnected() && canServeNext()) {
            serve(reader.poll());
        }
        if (!busy && connection.isOverrun()) {
            connection.reject(HttpResponseStatus.BAD_REQUEST, "too much sent at once");
        }
        reader.updateFlow();
    }

    /** Drops what is behind the request in service, or behind the next one if there is none. */
    void pipelineOverrun() {
        if (busy) {
            reader.release();
        } else {
            reader.releaseBehindNext();
        }
    }

    /** Whether a request is ready and none is in service. */
    boolean canServeNext() {
        return !busy && connection.isOpen() && reader.isNextReady();
    }

    private void serve(PipelinedRequest incoming) {
        if (incoming.isShed()) {
            serveShed(incoming);
            return;
        }
        RequestDescriptor request;
        try {
            QueryStringDecoder uri =
                    new QueryStringDecoder(RequestValidator.target(incoming.head()));
            // Throws for invalid percent-encoding, which is rejected below.
            if (uri.path().equals(RequestValidator.HEALTH_CHECK_PATH)) {
                respondToHealthCheck(incoming);
                return;
            }
            request = server.validate(incoming, uri);
        } catch (InvalidInputException | IllegalArgumentException e) {
            incoming.release();
            connection.reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            return;
        }
        beginService(incoming);
        servingId = request.id();
        server.dispatcher()
                .requestReceived(
                        request, RequestValidator.forwarded(incoming.head()), incoming.body, this);
    }

    private void beginService(PipelinedRequest incoming) {
        busy = true;
        if (!reader.isIncoming(incoming)) {
            connection.leaveActivity();
        }
        serving = incoming;
    }

    /** Rejects a request whose head or body there was no memory for. */
    private void serveShed(PipelinedRequest incoming) {
        beginService(incoming);
        if (!server.dispatcher().requestShed(incoming.shedClassName(), this)) {
            connection.reject(HttpResponseStatus.BAD_REQUEST, "bad or missing class");
        }
    }

    private void respondToHealthCheck(PipelinedRequest incoming) {
        incoming.release();
        boolean ready = server.notReadyReason().isEmpty();
        connection.closeAfterResponse(); // rare requests, so their connections are not kept alive
        respond(
                ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                Unpooled.EMPTY_BUFFER,
                0);
    }

    /** Releases all requests of this client and cancels the one in flight. */
    void abandonRequests() {
        releaseRequests();
        if (servingId != null) {
            String id = servingId;
            servingId = null;
            server.dispatcher().clientDisconnected(id);
        }
    }

    /** Releases the queued requests and the rest of the body of the one in service. */
    void releaseRequests() {
        reader.release();
        if (bodyCompletionPending) {
            bodyCompletionPending = false;
            serving.release();
        }
    }

    @Override
    public boolean isClientConnected() {
        return connection.isClientConnected();
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

    /** Writes a complete response, which ends the service of its request. */
    void respond(HttpResponseStatus status, ByteBuf body, long retryAfterMicros) {
        servingId = null;
        boolean last = isLastResponse();
        writer.write(status, body, retryAfterMicros, last, () -> responseWritten(last));
    }

    @Override
    public void startResponse(long length) {
        closesAfterStream = isLastResponse();
        writer.writeHead(length, closesAfterStream);
    }

    @Override
    public void write(ByteBuf bytes) {
        writer.writeContent(bytes);
    }

    @Override
    public void end(boolean complete) {
        servingId = null;
        if (complete) {
            boolean last = closesAfterStream;
            writer.writeEnd(() -> responseWritten(last));
        } else {
            connection.close("the response is incomplete"); // seen from its framing
        }
    }

    @Override
    public boolean isWritable(Runnable resume) {
        return writer.isWritable(resume);
    }

    /** Whether the connection ends after the response that is about to be written. */
    private boolean isLastResponse() {
        boolean bodyUnread = reader.isIncoming(serving);
        boolean retiring = server.isRetiringConnections() && reader.isQueueEmpty();
        return retiring
                || !connection.isOpen()
                || bodyUnread
                || serving != null && !serving.keepsAlive();
    }

    private void responseWritten(boolean last) {
        if (bodyCompletionPending) {
            // The response arrived before the end of the body was passed on.
            bodyCompletionPending = false;
            serving.release();
        }
        if (serving != null) {
            serving.releaseHead();
        }
        serving = null;
        writer.responseCompleted();
        connection.responseWritten(last, reader.isMidRequest());
        // Runs as a task, since the next request must not be dispatched within a policy event.
        channel.eventLoop().execute(this::serviceEnded);
    }

    private void serviceEnded() {
        busy = false;
        serveNext();
    }
}
