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

/**
 * One client connection from accept to close. Its life is a {@link ConnectionState} that only goes
 * forward; {@link RequestReader} assembles requests, {@link RequestSequencer} has them served,
 * {@link ResponseWriter} writes responses, {@link ConnectionRegistry} knows what it is doing for
 * how long. Used on the event loop only.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
        implements ResponseWriter.Listener {
    private static final System.Logger LOG = System.getLogger(ClientConnection.class.getName());

    /**
     * A client counts as disconnected 0.1 s after its close. Where the loop has not read a
     * connection for a fifth of that, it is read before anything is done for its client.
     */
    private static final long MAX_UNREAD_MILLIS = 20;

    private final ClientServer server;
    private final Channel channel;
    private final InboundByteMonitor inbound;
    private final ResponseAudit audit;
    private final RequestReader reader;
    private final RequestSequencer sequencer;
    private final ResponseWriter writer;
    private ConnectionState state = ConnectionState.OPEN;

    /**
     * What it is doing, and since when in monotonic nanoseconds; null while a request is served.
     */
    private ConnectionActivity activity;

    private long activitySinceNanos;

    ClientConnection(ClientServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
        this.inbound = new InboundByteMonitor(server.transport(), this::bytesArrived);
        this.audit =
                new ResponseAudit(server.dispatcher().violations(), server.transport()::nanoTime);
        this.reader = new RequestReader(inbound, server.transport()::nanoTime);
        this.writer = new ResponseWriter(channel, this);
        this.sequencer = new RequestSequencer(server, this, channel, reader, writer);
    }

    /** The first handler of the pipeline: sees all bytes, also those that are not yet a message. */
    InboundByteMonitor inboundMonitor() {
        return inbound;
    }

    /** The handler that sees all messages, as they come and as they go. */
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

    /** For how long it has been in its present activity, or was in its last one. */
    long millisInActivity() {
        return TimeUnit.NANOSECONDS.toMillis(server.transport().nanoTime() - activitySinceNanos);
    }

    /** How long nothing has arrived, though there was room for it. */
    long quietMillis() {
        return inbound.quietMillis();
    }

    /** Whether not a byte has arrived yet. */
    boolean isNew() {
        return !inbound.hasReceivedBytes();
    }

    /** Whether the next bytes are those of a request's head. */
    boolean awaitsHead() {
        return !reader.isMidRequest();
    }

    private void bytesArrived() {
        if (activity == ConnectionActivity.IDLE) {
            enter(ConnectionActivity.AWAITING_REQUEST);
        }
    }

    // Beginning and end

    @Override
    public void channelActive(ChannelHandlerContext context) {
        enter(ConnectionActivity.AWAITING_REQUEST);
        server.connectionOpened(this);
    }

    /** Reads what has arrived, also before it is the loop's turn; whether anything had. */
    boolean readNow() {
        return inbound.readNow();
    }

    /** Whether the client is still there; reads first if that was not done lately. */
    boolean isHere() {
        if (inbound.millisSinceRead() >= MAX_UNREAD_MILLIS) {
            readNow();
        }
        return channel.isOpen();
    }

    /**
     * Ends a connection that waits for a request. What has arrived by now is read, and keeps the
     * connection if it is the beginning of a request; what comes later is dropped, and its client
     * sends it again elsewhere.
     */
    void retire() {
        endUnlessInUse(this::linger);
    }

    /**
     * The same where its place is needed at once: what comes later stays unread, and may meet a
     * reset.
     */
    void makeWay() {
        endUnlessInUse(this::close);
    }

    private void endUnlessInUse(Runnable end) {
        if (readNow() || sequencer.mayServeNext()) {
            return;
        }
        if (!channel.isOpen()) {
            close();
        } else if (isResting()) {
            end.run();
        } else {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "no request");
        }
    }

    /** Whether there is no request on it, and no part of one. */
    private boolean isResting() {
        return isNew() || activity == ConnectionActivity.IDLE;
    }

    /** Whether there is a part of a request, and none in service. */
    boolean isHalfReceived() {
        return !isNew()
                && !sequencer.isServing()
                && state == ConnectionState.OPEN
                && !sequencer.mayServeNext();
    }

    /** Closes; counts as closed at once, while the channel says so a little later. */
    void close() {
        state = ConnectionState.CLOSED;
        server.connections().remove(this);
        leaveActivity();
        channel.close();
    }

    /**
     * Shuts our side behind the last response. A close with bytes unread or still to come would
     * reset the connection, and the reset would take the response along; so what comes is dropped
     * until the client closes.
     */
    private void linger() {
        audit.closing(channel.isActive());
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
        server.connectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof CodecException)) {
            LOG.log(System.Logger.Level.ERROR, "closed a client connection after a failure", cause);
        }
        close();
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

    /** Whether requests are taken. */
    boolean isOpen() {
        return state == ConnectionState.OPEN;
    }

    /** Takes no further request: the next response is the last one. */
    void endAfterResponse() {
        state = ConnectionState.ENDING;
        inbound.discard();
    }

    /**
     * Ends the connection of a client that does not keep to the protocol, with a response that says
     * why; behind a response under way there is none.
     */
    void reject(HttpResponseStatus status, String reason) {
        if (state != ConnectionState.OPEN) {
            return;
        }
        endAfterResponse();
        if (writer.isResponding()) {
            sequencer.releaseRequests();
        } else {
            sequencer.abandonRequests();
            sequencer.respond(
                    status, Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8), 0);
        }
    }

    /** A response is complete; ends the connection behind the last one, else waits for requests. */
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
        close();
    }
}
