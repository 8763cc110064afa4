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
import loadbalancer.transport.ListeningAddress;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * The HTTP/1.1 server towards clients: listens, accepts connections up to a limit, and ends them at
 * a graceful shutdown. Used on the event loop, except where a method says otherwise.
 */
public final class ClientServer {
    /** How often connections are checked against their time limits. */
    private static final long SWEEP_INTERVAL_MILLIS = 100;

    private final Transport transport;
    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final ConnectionRegistry connections = new ConnectionRegistry();
    private final ConnectionReaper reaper = new ConnectionReaper(connections);
    private final GracefulShutdown shutdown;
    private RequestValidator validator;
    private int maxConnections;
    private InetSocketAddress address;
    private volatile ListeningAddress listening;
    private volatile boolean stopping;

    /** A server that does not listen yet, with a limit on its connections. */
    public ClientServer(
            Transport transport,
            RequestDispatcher dispatcher,
            LoadedSettings facts,
            int maxConnections) {
        this.transport = transport;
        this.loop = transport.loop();
        this.dispatcher = dispatcher;
        this.validator = new RequestValidator(facts);
        this.maxConnections = maxConnections;
        this.shutdown = new GracefulShutdown(this, loop, dispatcher);
    }

    /**
     * Listens, at the latest once the system has a socket for it. The future fails if the address
     * can't be had, and is cancelled by a stop.
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
                                        "ending client connections over their time limits",
                                        this::sweep);
                            }
                        });
    }

    /** Tries once to listen where it did before. */
    Future<Channel> listenAgain() {
        return ListenerOpening.once(loop, this::bindOnce);
    }

    private ChannelFuture bindOnce() {
        ChannelFuture binding =
                new ServerBootstrap()
                        .group(loop)
                        .channelFactory(transport::listening)
                        .handler(new AcceptFailureHandler(transport::nanoTime, this::makeRoom))
                        .childHandler(new ClientChannelInitializer(this))
                        .bind(address);
        binding.addListener(
                f -> {
                    if (f.isSuccess()) {
                        listening = (ListeningAddress) binding.channel();
                        address = (InetSocketAddress) listening.localAddress();
                        makeRoom();
                    }
                });
        return binding;
    }

    /** Makes a channel one to a client. */
    public void prepare(Channel channel) {
        ClientChannelInitializer.prepare(this, channel);
    }

    Transport transport() {
        return transport;
    }

    RequestDispatcher dispatcher() {
        return dispatcher;
    }

    ConnectionRegistry connections() {
        return connections;
    }

    void connectionOpened(ClientConnection connection) {
        connections.add(connection);
        makeRoom();
    }

    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        makeRoom();
        shutdown.finishIfEmpty();
    }

    /**
     * The request that a message stands for, with the time that is left of it: it may have waited
     * behind others on its connection.
     *
     * @throws InvalidInputException if it is not of the protocol, or its id is in use
     */
    RequestDescriptor validate(PipelinedRequest incoming, QueryStringDecoder uri)
            throws InvalidInputException {
        RequestDescriptor request =
                validator.request(incoming.head, uri, incoming.body.length() != 0);
        if (dispatcher.isInFlight(request.id())) {
            throw new InvalidInputException("a request with this id is open");
        }
        long waitedMillis = incoming.millisSinceCompletion(transport.nanoTime());
        return waitedMillis == 0
                ? request
                : request.withTimeLeft(
                        Math.max(0, request.timeLeftMicros() - waitedMillis * 1_000));
    }

    /**
     * Why no new client should be sent here, an empty text if there is no reason; any thread may
     * ask.
     */
    public String whyNotReady() {
        Channel channel = listening;
        return stopping
                ? "stopping"
                : channel == null || !channel.isActive()
                        ? "not listening yet"
                        : !dispatcher.isReady() ? "no list of upstreams yet" : "";
    }

    /** Where clients find it. */
    public SocketAddress address() {
        return listening.localAddress();
    }

    // A graceful shutdown, which GracefulShutdown leads through

    /**
     * Reports this process as stopping from now on, so that no new client is sent here. Any thread.
     */
    public void reportStopping() {
        stopping = true;
    }

    /**
     * Shuts down gracefully: every request in flight gets its final response, failed when time runs
     * out. The future is done when nothing is left. Asked again, the sooner times hold.
     */
    public Future<Void> shutDownGracefully(ShutdownTimes times) {
        reportStopping();
        return shutdown.begin(times);
    }

    /** Whether a stop has begun and not ended. */
    public boolean isShuttingDown() {
        return shutdown.isUnderWay();
    }

    /** Whether another process lets clients in at this address, which matters during a stop. */
    public void setSuccessorListening(boolean listens) {
        shutdown.setSuccessorListening(listens);
    }

    /** Whether each response is the last one on its connection. */
    boolean isLeaving() {
        return shutdown.isLeaving();
    }

    ListeningAddress listening() {
        return listening;
    }

    boolean listens() {
        return listening != null && listening.isOpen();
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Takes in a client that the listener had accepted before it closed. */
    void take(Channel channel) {
        prepare(channel);
        loop.register(channel);
    }

    /** Connections without a request, or part of one. */
    Stream<ClientConnection> resting() {
        return Stream.concat(
                connections.in(ConnectionActivity.AWAITING_REQUEST).stream()
                        .filter(ClientConnection::isNew),
                connections.in(ConnectionActivity.IDLE).stream());
    }

    /** Rejects the requests that have arrived in part: they would not be served any more. */
    void rejectHalfReceived() {
        for (ClientConnection connection :
                List.copyOf(connections.in(ConnectionActivity.AWAITING_REQUEST))) {
            connection.readNow(); // the loop may be behind
            if (connection.isHalfReceived()) {
                connection.reject(HttpResponseStatus.REQUEST_TIMEOUT, "stopping");
            }
        }
    }

    void closeAll() {
        connections.all().forEach(ClientConnection::close);
        if (listens()) {
            dispatcher
                    .violations()
                    .report(
                            Violation.LISTENER_CLOSED_EARLY,
                            transport.nanoTime(),
                            "clients may wait in the queue at " + address);
            listening.close();
        }
    }

    // Limits

    private void sweep() {
        reaper.endExpired();
        makeRoom();
    }

    /** Validates requests that are read from now on against these. */
    public void updateSettings(LoadedSettings facts) {
        validator = new RequestValidator(facts);
    }

    /** From now on there may be so many connections. */
    public void setMaxConnections(int connectionCount) {
        maxConnections = connectionCount;
        makeRoom();
    }

    /**
     * Beyond the limit clients wait to be accepted: with more, upstreams would lack descriptors.
     */
    private void makeRoom() {
        reaper.makeRoom(maxConnections);
        if (listening != null && listening.isOpen() && listening.isRegistered()) {
            listening.config().setAutoRead(connections.size() < maxConnections);
        }
    }
}
