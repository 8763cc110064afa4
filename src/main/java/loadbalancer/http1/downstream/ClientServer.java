package loadbalancer.http1.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.stream.Stream;
import loadbalancer.RequestDescriptor;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.proxy.Violation;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.LoadedSettings;
import loadbalancer.transport.ListenerOpening;
import loadbalancer.transport.ListeningChannel;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * The HTTP/1.1 server for clients: listens, accepts connections up to a limit, and closes them
 * during a graceful shutdown. Used on the event loop, unless a method states otherwise.
 */
public final class ClientServer {
    /** Interval of the check of connections against their time limits. */
    private static final long SWEEP_INTERVAL_MILLIS = 100;

    private final Transport transport;
    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final ConnectionRegistry connections = new ConnectionRegistry();
    private final ConnectionReaper reaper = new ConnectionReaper(connections);
    private final SmallPartPacer smallPartPacer = new SmallPartPacer();
    private final GracefulShutdown shutdown;
    private RequestValidator validator;
    private int maxConnections;
    private InetSocketAddress address;
    private volatile ListeningChannel listener;
    private volatile boolean stopping;

    /** Creates a server that does not listen yet and has a limit on its open connections. */
    public ClientServer(
            Transport transport,
            RequestDispatcher dispatcher,
            LoadedSettings loadedSettings,
            int maxConnections) {
        this.transport = transport;
        this.loop = transport.loop();
        this.dispatcher = dispatcher;
        this.validator = new RequestValidator(loadedSettings);
        this.maxConnections = maxConnections;
        this.shutdown = new GracefulShutdown(this, loop, dispatcher);
        transport.memoryQuota().onPressureChange(this::memoryPressureChanged);
    }

    /** Connections stop reading at once, but resume in a task, since that may deliver bytes. */
    private void memoryPressureChanged() {
        if (transport.memoryQuota().isUnderPressure()) {
            connections.all().forEach(ClientConnection::memoryPressureChanged);
        } else {
            loop.execute(() -> connections.all().forEach(ClientConnection::memoryPressureChanged));
        }
    }

    /**
     * Starts listening; retries while the system has no socket for it. The future fails if the
     * address can't be bound and is cancelled by a shutdown.
     */
    public Future<Channel> bind(InetSocketAddress at) {
        address = at;
        return ListenerOpening.open(transport, this::bindOnce, () -> stopping)
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                RepeatingTask.every(
                                        loop,
                                        SWEEP_INTERVAL_MILLIS,
                                        "closing client connections that exceeded a time limit",
                                        this::sweep);
                            }
                        });
    }

    /** Tries once to listen again on the address that was bound before. */
    Future<Channel> reopenListener() {
        return ListenerOpening.once(loop, this::bindOnce);
    }

    private ChannelFuture bindOnce() {
        ChannelFuture binding =
                new ServerBootstrap()
                        .group(loop)
                        .channelFactory(transport::newListener)
                        .handler(
                                new AcceptFailureHandler(
                                        transport::nanoTime, this::enforceConnectionLimit))
                        .childHandler(new ClientChannelInitializer(this))
                        .bind(address);
        binding.addListener(
                f -> {
                    if (f.isSuccess()) {
                        listener = (ListeningChannel) binding.channel();
                        address = (InetSocketAddress) listener.localAddress();
                        enforceConnectionLimit();
                    }
                });
        return binding;
    }

    /** Configures a channel as a client connection and adds its handlers. */
    public void prepare(Channel channel) {
        ClientChannelInitializer.prepare(this, channel);
    }

    Transport transport() {
        return transport;
    }

    RequestDispatcher dispatcher() {
        return dispatcher;
    }

    SmallPartPacer smallPartPacer() {
        return smallPartPacer;
    }

    ConnectionRegistry connections() {
        return connections;
    }

    void connectionOpened(ClientConnection connection) {
        connections.add(connection);
        enforceConnectionLimit();
    }

    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        enforceConnectionLimit();
        shutdown.finishIfEmpty();
    }

    /**
     * Returns the descriptor of a received request. Its remaining time is reduced by the time for
     * which the request waited behind others on its connection.
     *
     * @throws InvalidInputException if the request is invalid or its id is in use
     */
    RequestDescriptor validate(PipelinedRequest incoming, QueryStringDecoder uri)
            throws InvalidInputException {
        RequestDescriptor request =
                validator.request(incoming.head(), uri, incoming.body.length() != 0);
        if (dispatcher.isInFlight(request.id())) {
            throw new InvalidInputException("a request with this id is open");
        }
        if (dispatcher.isRecent(request.id())) {
            throw new InvalidInputException("a request with this id was sent before");
        }
        long waitedMillis = incoming.millisSinceCompletion(transport.nanoTime());
        return waitedMillis == 0
                ? request
                : request.withTimeLeft(
                        Math.max(0, request.timeLeftMicros() - waitedMillis * 1_000));
    }

    /**
     * Returns the reason why this server is not ready for new clients; empty if it is ready.
     * Callable from any thread.
     */
    public String notReadyReason() {
        Channel channel = listener;
        return stopping
                ? "stopping"
                : channel == null || !channel.isActive()
                        ? "not listening yet"
                        : !dispatcher.isReady() ? "no list of upstreams yet" : "";
    }

    /** Returns the address on which the server listens. */
    public SocketAddress address() {
        return listener.localAddress();
    }

    // Graceful shutdown, whose phases GracefulShutdown controls

    /**
     * Reports this process as not ready from now on, so that no new client is sent to it. Callable
     * from any thread.
     */
    public void reportStopping() {
        stopping = true;
    }

    /**
     * Shuts down gracefully: every request in flight gets its final response, which is a failure
     * once the time is up. The future completes when no connection is left. If called again, the
     * earlier time applies to each phase.
     */
    public Future<Void> shutDownGracefully(ShutdownTimes times) {
        reportStopping();
        return shutdown.begin(times);
    }

    /** Whether a graceful shutdown has begun and has not completed. */
    public boolean isShuttingDown() {
        return shutdown.isUnderWay();
    }

    /**
     * Sets whether a successor process listens on the same address; it takes effect during a
     * shutdown.
     */
    public void setSuccessorListening(boolean isListening) {
        shutdown.setSuccessorListening(isListening);
    }

    /** Whether each response is the last one on its connection, because of a shutdown. */
    boolean isRetiringConnections() {
        return shutdown.isRetiringConnections();
    }

    ListeningChannel listener() {
        return listener;
    }

    boolean isListening() {
        return listener != null && listener.isOpen();
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Adopts a client connection from the accept queue of a listener that is being closed. */
    void adopt(Channel channel) {
        prepare(channel);
        loop.register(channel);
    }

    /** Returns the connections that carry no request and no part of one. */
    Stream<ClientConnection> connectionsWithoutRequest() {
        return Stream.concat(
                connections.in(ConnectionActivity.AWAITING_REQUEST).stream()
                        .filter(ClientConnection::isNew),
                connections.in(ConnectionActivity.IDLE).stream());
    }

    /** Rejects partly received requests, which would no longer be served. */
    void rejectPartialRequests() {
        for (ClientConnection connection :
                List.copyOf(connections.in(ConnectionActivity.AWAITING_REQUEST))) {
            connection.readNow(); // the event loop may not have polled it for a while
            if (connection.hasPartialRequest()) {
                connection.reject(HttpResponseStatus.REQUEST_TIMEOUT, "stopping");
            }
        }
    }

    void closeAll() {
        connections.all().forEach(connection -> connection.close("the process stops"));
        if (isListening()) {
            dispatcher
                    .violations()
                    .report(
                            Violation.LISTENER_CLOSED_EARLY,
                            transport.nanoTime(),
                            "clients may be waiting in the accept queue of " + address);
            listener.close();
        }
    }

    // Limits

    private void sweep() {
        reaper.endExpired();
        if (transport.memoryQuota().isUnderPressure()) {
            reaper.closeUnread();
        }
        enforceConnectionLimit();
    }

    /** Replaces the settings against which requests are validated from now on. */
    public void updateSettings(LoadedSettings loadedSettings) {
        validator = new RequestValidator(loadedSettings);
    }

    /** Sets the limit on open client connections. */
    public void setMaxConnections(int connectionCount) {
        maxConnections = connectionCount;
        enforceConnectionLimit();
    }

    /**
     * Evicts connections above the limit, and stops accepting while the limit is reached; further
     * clients wait in the accept queue. The limit leaves enough file descriptors for connections to
     * upstreams.
     */
    private void enforceConnectionLimit() {
        reaper.evictToLimit(maxConnections);
        if (listener != null && listener.isOpen() && listener.isRegistered()) {
            listener.config().setAutoRead(connections.size() < maxConnections);
        }
    }
}
