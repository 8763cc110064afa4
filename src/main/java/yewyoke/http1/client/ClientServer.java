package yewyoke.http1.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import yewyoke.exchange.Driver;
import yewyoke.settings.SettingsReader;
import yewyoke.transport.Listening;
import yewyoke.transport.Transport;

/** The side towards clients: takes requests in, and gives each its one answer. */
public final class ClientServer {
    /** Of the library's, except that a body comes in larger pieces. */
    private static final HttpDecoderConfig DECODER = new HttpDecoderConfig().setMaxChunkSize(32 * 1024);
    /** Bounds what the system holds for a client that reads slowly, and shows that it reads at all. */
    private static final int SEND_BUFFER = 128 * 1024;
    /** A connection that says nothing for so long, or in the middle of a request no more, is ended. */
    private static final long SILENT_MS = 2_500;
    /** A head that goes on coming may take longer, up to so long, with pauses up to this one. */
    private static final long LONGEST_HEAD_MS = 6_000;
    private static final long HEAD_PAUSE_MS = 750;
    /** So long a connection is kept between requests, and one whose client reads nothing of its answer. */
    private static final long IDLE_MS = 5_000;
    private static final long UNREAD_MS = 6_000;
    /** With all connections taken, these make room: silent from the start, stopped half way, or idle. */
    private static final long YIELD_NEW_MS = 250;
    private static final long YIELD_HALF_MS = 1_000;
    private static final long YIELD_OLD_MS = 2_000;
    private static final long SWEEP_MS = 100;
    /** At a planned stop idle connections are closed one by one, this far apart. */
    private static final long BETWEEN_CLOSES_MS = 1;

    final Transport transport;
    private final EventLoop loop;
    final Driver driver;
    RequestCheck check;
    private int maxConnections;
    private final Set<Session> sessions = new HashSet<>();
    /** Connections with a request to come, those between two requests, and those with an answer to read. */
    final Set<Session> silent = new LinkedHashSet<>();
    final Set<Session> idle = new LinkedHashSet<>();
    final Set<Session> unread = new LinkedHashSet<>();
    private final Promise<Void> drained;
    private volatile Listening listening;
    private volatile boolean stopping;
    /** Whether each answer is the last on its connection. */
    boolean leaving;

    /** Not listening yet; at most so many connections at a time. */
    public ClientServer(Transport transport, Driver driver, SettingsReader.Found facts, int maxConnections) {
        this.transport = transport;
        this.loop = transport.loop();
        this.driver = driver;
        this.check = new RequestCheck(facts);
        this.maxConnections = maxConnections;
        this.drained = loop.newPromise();
    }

    /** Listens; the future fails if the address can't be had. */
    public ChannelFuture bind(InetSocketAddress address) {
        ChannelFuture binding = new ServerBootstrap().group(loop).channelFactory(transport::listening)
                .handler(new AcceptFailures(transport::nanoTime, this::makeRoom))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        if (channel.config() instanceof SocketChannelConfig socket) {
                            socket.setTcpNoDelay(true).setSendBufferSize(SEND_BUFFER);
                        }
                        prepare(channel);
                    }
                }).bind(address);
        binding.addListener(f -> {
            if (f.isSuccess()) {
                listening = (Listening) binding.channel();
                loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
            }
        });
        return binding;
    }

    /** Makes a channel one to a client. */
    public void prepare(Channel channel) {
        Session session = new Session(this, channel);
        channel.config().setWriteBufferWaterMark(Transport.WATER_MARK);
        channel.pipeline().addLast(session.watch(), new HttpServerCodec(DECODER), session);
    }

    void opened(Session session) {
        sessions.add(session);
        makeRoom();
    }

    /** Counts as closed at once, while the channel says so a little later. */
    void closing(Session session) {
        sessions.remove(session);
    }

    void closed(Session session) {
        sessions.remove(session);
        makeRoom();
        finishIfDrained();
    }

    /** Why no new client should come here, an empty text if nothing stands against it; any thread may ask. */
    public String whyNotReady() {
        Channel channel = listening;
        return stopping ? "stopping" : channel == null || !channel.isActive() ? "not listening yet"
                : !driver.ready() ? "no list of upstreams yet" : "";
    }

    /** Where clients find it. */
    public SocketAddress address() {
        return listening.localAddress();
    }

    /**
     * A planned stop: goes on accepting while clients still come, and serving those that have connections.
     * All that was taken is answered, the last of it as failed when time runs out. The future is done when
     * nothing is left.
     */
    public Promise<Void> drain(long keepAcceptingMs, long keepServingMs, long lastAnswerMs) {
        loop.execute(() -> stopping = true);
        loop.schedule(this::stopAccepting, keepAcceptingMs, TimeUnit.MILLISECONDS);
        return end(keepServingMs, lastAnswerMs);
    }

    /**
     * A stop with a successor in place, which has this address too: those who wait here are let in, and
     * whoever asks for something gets with the answer the word to connect anew. A connection closed with no
     * request on it may cross one, so that is left to the end.
     */
    public Promise<Void> handOver(long keepServingMs, long lastAnswerMs) {
        loop.execute(() -> {
            stopping = true;
            // Only then: those who connect anew must not meet the listener that is about to close.
            listening.closeFuture().addListener(f -> leaving = true);
            stopAccepting();
        });
        return end(keepServingMs, lastAnswerMs);
    }

    private void stopAccepting() {
        listening.closeFuture().addListener(f -> finishIfDrained());
        listening.closeBehindTheLast(channel -> {
            prepare(channel);
            loop.register(channel);
        });
    }

    private Promise<Void> end(long keepServingMs, long lastAnswerMs) {
        loop.schedule(() -> {
            leaving = true;
            closeIdle();
        }, keepServingMs, TimeUnit.MILLISECONDS);
        loop.schedule(driver::failAll, lastAnswerMs, TimeUnit.MILLISECONDS);
        return drained;
    }

    /**
     * Closes one idle connection at a time: between two the loop reads what has come. All in one go, requests
     * that came while the first ones were being closed would be lost with the last ones.
     */
    private void closeIdle() {
        Stream.concat(silent.stream(), idle.stream()).findFirst().ifPresent(Session::close);
        finishIfDrained();
        if (!sessions.isEmpty()) {
            loop.schedule(this::closeIdle, BETWEEN_CLOSES_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void finishIfDrained() {
        if (stopping && !listening.isOpen() && sessions.isEmpty()) {
            drained.trySuccess(null);
        }
    }

    /** Ends what has lasted too long. */
    private void sweep() {
        List.copyOf(silent).forEach(this::endIfStopped);
        while (lasts(idle, IDLE_MS)) {
            idle.iterator().next().close();
        }
        while (lasts(unread, UNREAD_MS)) {
            unread.iterator().next().close();
        }
        makeRoom();
    }

    /** Judged by progress: honest clients may be slow, others stop half way. */
    private void endIfStopped(Session s) {
        boolean stopped = s.readsHead()
                ? s.quietMs() > HEAD_PAUSE_MS && s.sinceMs() > SILENT_MS || s.sinceMs() > LONGEST_HEAD_MS
                : s.quietMs() > SILENT_MS;
        if (stopped) {
            s.reject(HttpResponseStatus.REQUEST_TIMEOUT, "no request");
        }
    }

    /** Each of the sets has the longest first. */
    private static boolean lasts(Set<Session> sessions, long ms) {
        return !sessions.isEmpty() && sessions.iterator().next().sinceMs() > ms;
    }

    /** Requests that are read from now on are held against these. */
    public void settings(SettingsReader.Found facts) {
        check = new RequestCheck(facts);
    }

    /** From now on there may be so many connections. */
    public void limit(int most) {
        maxConnections = most;
        makeRoom();
    }

    /** Beyond the limit clients wait to be accepted: with more, upstreams would lack descriptors. */
    private void makeRoom() {
        while (sessions.size() >= maxConnections) {
            Optional<Session> yields = silent.stream().filter(s -> s.isNew() && s.sinceMs() > YIELD_NEW_MS)
                    .findFirst().or(() -> silent.stream().filter(s -> s.readsHead()
                            && s.quietMs() > YIELD_HALF_MS).findFirst())
                    .or(() -> idle.stream().findFirst().filter(s -> s.sinceMs() > YIELD_OLD_MS));
            if (yields.isEmpty()) {
                break;
            }
            yields.get().close();
        }
        if (listening != null && listening.isOpen() && listening.isRegistered()) {
            listening.config().setAutoRead(sessions.size() < maxConnections);
        }
    }
}
