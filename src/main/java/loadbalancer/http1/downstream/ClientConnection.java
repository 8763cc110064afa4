package loadbalancer.http1.downstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loadbalancer.http1.codec.LimitedHttpHeadersFactory;

/**
 * One client connection from accept to close. Its {@link ConnectionState} only moves forward.
 * {@link RequestReader} assembles requests, {@link RequestSequencer} has them served in order,
 * {@link ResponseWriter} writes responses, and {@link ConnectionRegistry} tracks the connection's
 * current activity and how long it has lasted. Used on the event loop only.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
        implements ResponseWriter.Listener, InboundByteMonitor.Owner {
    private static final System.Logger LOG = System.getLogger(ClientConnection.class.getName());

    /**
     * A client counts as disconnected 0.1 s after it has closed its connection. A connection whose
     * last read is at least a fifth of that time ago is read before any work is done for its
     * client.
     */
    private static final long MAX_READ_AGE_MILLIS = 20;

    private final ClientServer server;
    private final Channel channel;
    private final InboundByteMonitor inbound;
    private final LimitedHttpHeadersFactory headers;
    private final ResponseAudit audit;
    private final RequestReader reader;
    private final RequestSequencer sequencer;
    private final ResponseWriter writer;
    private ConnectionState state = ConnectionState.OPEN;

    /** The current activity; null while a request is served. */
    private ConnectionActivity activity;

    /** Monotonic time at which the current or last activity began. */
    private long activitySinceNanos;

    ClientConnection(ClientServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
        this.inbound = new InboundByteMonitor(server.transport(), this, server.smallPartPacer());
        this.headers = new LimitedHttpHeadersFactory(server.transport().memoryQuota());
        this.audit =
                new ResponseAudit(server.dispatcher().violations(), server.transport()::nanoTime);
        this.reader = new RequestReader(inbound, server.transport(), this::isBusy);
        this.writer = new ResponseWriter(channel, server.transport().memoryQuota(), this);
        this.sequencer = new RequestSequencer(server, this, channel, reader, writer);
    }

    /**
     * Returns the first handler of the pipeline, which receives all bytes, including those of
     * incomplete messages.
     */
    InboundByteMonitor inboundMonitor() {
        return inbound;
    }

    /** Returns the factory for the header fields of this client's requests. */
    LimitedHttpHeadersFactory headers() {
        return headers;
    }

    /** Returns the handler that observes all inbound and outbound HTTP messages. */
    ResponseAudit audit() {
        return audit;
    }

    // Activity

    private void enter(ConnectionActivity next) {
        leaveActivity();
        activitySinceNanos = server.transport().nanoTime();
        activity = next;
        server.connections().enter(next, this);
    }

    void leaveActivity() {
        if (activity != null) {
            server.connections().leave(activity, this);
            activity = null;
        }
    }

    /** Returns the time since the current or last activity began, in milliseconds. */
    long millisInActivity() {
        return TimeUnit.NANOSECONDS.toMillis(server.transport().nanoTime() - activitySinceNanos);
    }

    /** Returns the time since the last byte arrived; 0 while delivery is paused. */
    long receiveIdleMillis() {
        return inbound.receiveIdleMillis();
    }

    /** Returns whether no byte has been received on this connection. */
    boolean isNew() {
        return !inbound.hasReceivedBytes();
    }

    /** Returns whether the next bytes belong to a request head. */
    @Override
    public boolean isAwaitingHead() {
        return !reader.isMidRequest();
    }

    @Override
    public boolean isPipelining() {
        return sequencer.isBusy() ? !reader.isQueueEmpty() : reader.isNextComplete();
    }

    @Override
    public void pipelineOverrun() {
        sequencer.pipelineOverrun();
    }

    /** Returns whether the client has sent more behind a request than is accepted. */
    boolean isOverrun() {
        return inbound.isOverrun();
    }

    private boolean isBusy() {
        return sequencer.isBusy();
    }

    /** Reads less or more, because memory pressure has started or ended. */
    void memoryPressureChanged() {
        if (state == ConnectionState.OPEN) {
            reader.updateFlow();
            inbound.updateReading();
        }
    }

    @Override
    public void bytesReceived() {
        if (activity == ConnectionActivity.IDLE) {
            enter(ConnectionActivity.AWAITING_REQUEST);
        }
    }

    // Open and close

    @Override
    public void channelActive(ChannelHandlerContext context) {
        enter(ConnectionActivity.AWAITING_REQUEST);
        server.connectionOpened(this);
    }

    /**
     * Reads the socket immediately, without waiting for the event loop to poll it. Returns whether
     * any bytes had arrived.
     */
    boolean readNow() {
        return inbound.readNow();
    }

    /**
     * Returns whether the client is still connected; reads the socket first if the last read is too
     * old.
     */
    boolean isClientConnected() {
        if (inbound.millisSinceRead() >= MAX_READ_AGE_MILLIS) {
            readNow();
            inbound.readUpToEnd();
        }
        return channel.isOpen();
    }

    /**
     * Ends a connection that is waiting for a request. Bytes that have already arrived are read
     * first, and the connection is kept if they begin a request. Bytes that arrive later are
     * discarded; the client sends that request again on another connection.
     */
    void retire() {
        endUnlessInUse(this::linger);
    }

    /**
     * Ends a connection as {@link #retire} does, but closes it at once to free its slot. Bytes that
     * arrive later are not read, so the client may receive a reset.
     */
    void evict() {
        endUnlessInUse(() -> close("its slot is needed"));
    }

    private void endUnlessInUse(Runnable end) {
        if (readNow() || sequencer.canServeNext()) {
            return;
        }
        if (!channel.isOpen()) {
            close("the client has disconnected");
        } else if (hasNoRequest()) {
            end.run();
        } else {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "no request");
        }
    }

    private void logEnd(String what, String reason) {
        LOG.log(
                System.Logger.Level.DEBUG,
                () ->
                        "connection of client "
                                + channel.remoteAddress()
                                + " "
                                + what
                                + ": "
                                + reason);
    }

    /** Returns whether the connection carries no request and no part of one. */
    private boolean hasNoRequest() {
        return isNew() || activity == ConnectionActivity.IDLE;
    }

    /** Returns whether a request has been received in part and none is in service. */
    boolean hasPartialRequest() {
        return !isNew()
                && !sequencer.isServing()
                && state == ConnectionState.OPEN
                && !sequencer.canServeNext();
    }

    /**
     * Closes the connection. It counts as closed at once, while the channel reports its close
     * later.
     *
     * @param reason for the log
     */
    void close(String reason) {
        logEnd("closed", reason);
        state = ConnectionState.CLOSED;
        server.connections().remove(this);
        leaveActivity();
        channel.close();
    }

    /**
     * Shuts down the output after the last response. A full close while bytes are unread or still
     * in transit would reset the connection and could discard the response before the client reads
     * it, so input is discarded until the client closes.
     */
    private void linger() {
        audit.closing(channel.isActive());
        logEnd("half-closed", "after its last response, or unused");
        sequencer.releaseRequests();
        state = ConnectionState.LINGERING;
        inbound.discard();
        leaveActivity();
        if (channel.isActive()) {
            enter(ConnectionActivity.LINGERING);
            ((DuplexChannel) channel).shutdownOutput();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        state = ConnectionState.CLOSED;
        leaveActivity();
        inbound.discard();
        sequencer.abandonRequests();
        headers.close();
        server.connectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof CodecException)) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "closed a client connection after an unexpected exception",
                    cause);
        }
        close(cause.toString());
    }

    // Requests and responses

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (state != ConnectionState.OPEN) {
            return;
        }
        try {
            sequencer.read(part);
        } catch (RejectedRequestException e) {
            reject(e.status(), e.getMessage());
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        sequencer.readCompleted();
    }

    /** Returns whether the connection accepts further requests. */
    boolean isOpen() {
        return state == ConnectionState.OPEN;
    }

    /** Accepts no further request: the connection closes after the next response. */
    void closeAfterResponse() {
        state = ConnectionState.ENDING;
        inbound.discard();
    }

    /**
     * Ends the connection of a client that violates the protocol, with a response that states the
     * reason. If another response is being written, that one is finished and no error response
     * follows it.
     */
    void reject(HttpResponseStatus status, String reason) {
        if (state != ConnectionState.OPEN) {
            return;
        }
        logEnd("rejected with " + status.code(), reason);
        closeAfterResponse();
        if (writer.isResponding()) {
            sequencer.releaseRequests();
        } else {
            sequencer.abandonRequests();
            sequencer.respond(
                    status, Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8), 0);
        }
    }

    /**
     * Handles the completion of a response: ends the connection after the last one, otherwise waits
     * for the next request.
     */
    void responseWritten(boolean last, boolean isMidRequest) {
        if (last || state == ConnectionState.ENDING) {
            linger();
        } else if (channel.isActive()) {
            enter(isMidRequest ? ConnectionActivity.AWAITING_REQUEST : ConnectionActivity.IDLE);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        writer.writabilityChanged();
    }

    @Override
    public void writePending() {
        enter(ConnectionActivity.AWAITING_CLIENT_READ);
    }

    @Override
    public void writesDrained() {
        leaveActivity();
    }

    @Override
    public void writeFailed() {
        close("a write failed");
    }
}
