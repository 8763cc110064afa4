package loadbalancer.http1.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.proxy.Violation;
import loadbalancer.settings.SettingsReader;
import loadbalancer.transport.ListenerOpening;
import loadbalancer.transport.ListeningAddress;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/** The side towards clients: takes requests in, and gives each its one answer. */
public final class ClientServer {
    /** Of the library's, except that a body comes in larger pieces. */
    private static final HttpDecoderConfig DECODER =
            new HttpDecoderConfig().setMaxChunkSize(32 * 1024);

    /**
     * Bounds what the system holds for a client that reads slowly, and shows that it reads at all.
     */
    private static final int SEND_BUFFER = 128 * 1024;

    /**
     * A connection that says nothing for so long, or in the middle of a request no more, is ended.
     */
    private static final long SILENT_MS = 2_500;

    /** A head that goes on coming may take longer, up to so long, with pauses up to this one. */
    private static final long LONGEST_HEAD_MS = 6_000;

    private static final long HEAD_PAUSE_MS = 750;

    /**
     * So long a connection is kept between requests, and one whose client reads nothing of its
     * answer.
     */
    private static final long IDLE_MS = 5_000;

    private static final long UNREAD_MS = 6_000;

    /** So long a client may take to close its side after ours; a stop may bring the end forward. */
    private static final long LINGER_MS = 2_000;

    /**
     * With all connections taken, these make room: answered for good, silent, stopped half way, or
     * idle.
     */
    private static final long YIELD_ANSWERED_MS = 100;

    private static final long YIELD_NEW_MS = 250;
    private static final long YIELD_HALF_MS = 1_000;
    private static final long YIELD_OLD_MS = 2_000;
    private static final long SWEEP_MS = 100;

    final Transport transport;
    private final EventLoop loop;
    final RequestDispatcher driver;
    RequestValidator check;
    private int maxConnections;
    private final Set<ClientConnection> sessions = new HashSet<>();

    /** As many as the library's own reads go on for. */
    private static final int READS = 16;

    /**
     * A read that finds no more tells whether there is an end: a request and its client's close in
     * one.
     */
    private static final RecvByteBufAllocator TO_THE_END =
            new AdaptiveRecvByteBufAllocator()
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(READS);

    /**
     * Connections with a request to come, those between two requests, those with an answer to read,
     * and those that have their last answer and are still to be closed by their client.
     */
    final Set<ClientConnection> silent = new LinkedHashSet<>();

    final Set<ClientConnection> idle = new LinkedHashSet<>();
    final Set<ClientConnection> unread = new LinkedHashSet<>();
    final Set<ClientConnection> lingering = new LinkedHashSet<>();
    final GracefulShutdown drain;
    private InetSocketAddress address;
    private volatile ListeningAddress listening;
    private volatile boolean stopping;

    /** Not listening yet; at most so many connections at a time. */
    public ClientServer(
            Transport transport,
            RequestDispatcher driver,
            SettingsReader.Found facts,
            int maxConnections) {
        this.transport = transport;
        this.loop = transport.loop();
        this.driver = driver;
        this.check = new RequestValidator(facts);
        this.maxConnections = maxConnections;
        this.drain = new GracefulShutdown(this, loop, driver);
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
                                        SWEEP_MS,
                                        "closing clients that have stopped",
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
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        if (channel.config()
                                                instanceof SocketChannelConfig socket) {
                                            socket.setTcpNoDelay(true)
                                                    .setSendBufferSize(SEND_BUFFER);
                                        }
                                        prepare(channel);
                                    }
                                })
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
        ClientConnection session = new ClientConnection(this, channel);
        channel.config().setWriteBufferWaterMark(Transport.WATER_MARK);
        channel.config().setRecvByteBufAllocator(TO_THE_END);
        channel.pipeline()
                .addLast(session.intake(), new HttpServerCodec(DECODER), session.audit(), session);
    }

    void opened(ClientConnection session) {
        sessions.add(session);
        makeRoom();
    }

    /** Counts as closed at once, while the channel says so a little later. */
    void closing(ClientConnection session) {
        sessions.remove(session);
    }

    void closed(ClientConnection session) {
        sessions.remove(session);
        makeRoom();
        drain.finishIfEmpty();
    }

    /**
     * Why no new client should come here, an empty text if nothing stands against it; any thread
     * may ask.
     */
    public String whyNotReady() {
        Channel channel = listening;
        return stopping
                ? "stopping"
                : channel == null || !channel.isActive()
                        ? "not listening yet"
                        : !driver.ready() ? "no list of upstreams yet" : "";
    }

    /** Where clients find it. */
    public SocketAddress address() {
        return listening.localAddress();
    }

    // ---- A stop, which {@link Drain} leads through
    // -----------------------------------------------------

    /** From now on no new client should come here; any thread may tell. */
    public void leaves() {
        stopping = true;
    }

    /**
     * A planned stop: all that is taken is answered, the last of it as failed when time runs out.
     * The future is done when nothing is left. Asked again, the sooner times hold.
     */
    public Future<Void> drain(ShutdownTimes times) {
        leaves();
        return drain.by(times);
    }

    /** Whether a stop has begun and not ended. */
    public boolean isDraining() {
        return drain.isUnderWay();
    }

    /** Whether another process lets clients in at this address, which matters during a stop. */
    public void successor(boolean listens) {
        drain.successor(listens);
    }

    ListeningAddress listening() {
        return listening;
    }

    boolean listens() {
        return listening != null && listening.isOpen();
    }

    boolean isEmpty() {
        return sessions.isEmpty();
    }

    /** Takes in a client that the listener had accepted before it closed. */
    void take(Channel channel) {
        prepare(channel);
        loop.register(channel);
    }

    /** Those on which nothing is asked, and no part of it. */
    Stream<ClientConnection> resting() {
        return Stream.concat(silent.stream().filter(ClientConnection::isNew), idle.stream());
    }

    /** Those whose request has come in part won't see it taken any more. */
    void endHalfCome() {
        for (ClientConnection s : List.copyOf(silent)) {
            s.look(); // the loop may be behind
            if (s.isHalfCome()) {
                s.reject(HttpResponseStatus.REQUEST_TIMEOUT, "stopping");
            }
        }
    }

    void closeAll() {
        List.copyOf(sessions).forEach(ClientConnection::close);
        if (listens()) {
            driver.violations()
                    .report(
                            Violation.LISTENER_CLOSED_EARLY,
                            transport.nanoTime(),
                            "clients may wait in the queue at " + address);
            listening.close();
        }
    }

    // ---- Limits
    // ----------------------------------------------------------------------------------------

    /** Ends what has lasted too long. */
    private void sweep() {
        List.copyOf(silent).forEach(this::endIfStopped);
        while (lasts(idle, IDLE_MS)) {
            idle.iterator().next().retire();
        }
        while (lasts(lingering, LINGER_MS)) {
            lingering.iterator().next().close();
        }
        while (lasts(unread, UNREAD_MS)) {
            unread.iterator().next().close();
        }
        makeRoom();
    }

    private void endIfStopped(ClientConnection s) {
        if (hasStopped(s)) {
            s.look(); // the loop may be behind
            if (hasStopped(s)) {
                s.reject(HttpResponseStatus.REQUEST_TIMEOUT, "no request");
            }
        }
    }

    /** Judged by progress: honest clients may be slow, others stop half way. */
    private static boolean hasStopped(ClientConnection s) {
        return s.readsHead()
                ? s.quietMs() > HEAD_PAUSE_MS && s.sinceMs() > SILENT_MS
                        || s.sinceMs() > LONGEST_HEAD_MS
                : s.quietMs() > SILENT_MS;
    }

    /** Each of the sets has the longest first. */
    private static boolean lasts(Set<ClientConnection> sessions, long ms) {
        return !sessions.isEmpty() && sessions.iterator().next().sinceMs() > ms;
    }

    /** Requests that are read from now on are held against these. */
    public void settings(SettingsReader.Found facts) {
        check = new RequestValidator(facts);
    }

    /** From now on there may be so many connections. */
    public void limit(int most) {
        maxConnections = most;
        makeRoom();
    }

    /**
     * Beyond the limit clients wait to be accepted: with more, upstreams would lack descriptors.
     */
    private void makeRoom() {
        while (sessions.size() >= maxConnections) {
            if (lasts(lingering, YIELD_ANSWERED_MS)) {
                lingering.iterator().next().close();
                continue;
            }
            Optional<ClientConnection> yields =
                    silent.stream()
                            .filter(s -> s.isNew() && s.sinceMs() > YIELD_NEW_MS)
                            .findFirst()
                            .or(
                                    () ->
                                            silent.stream()
                                                    .filter(
                                                            s ->
                                                                    s.readsHead()
                                                                            && s.quietMs()
                                                                                    > YIELD_HALF_MS)
                                                    .findFirst())
                            .or(
                                    () ->
                                            idle.stream()
                                                    .findFirst()
                                                    .filter(s -> s.sinceMs() > YIELD_OLD_MS));
            if (yields.isEmpty()) {
                break;
            }
            yields.get().makeWay();
        }
        if (listening != null && listening.isOpen() && listening.isRegistered()) {
            listening.config().setAutoRead(sessions.size() < maxConnections);
        }
    }
}
