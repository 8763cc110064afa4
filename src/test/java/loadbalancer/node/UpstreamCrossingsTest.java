package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointState;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Script;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.http1.upstream.Http1UpstreamTransport;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.RequestBody;
import loadbalancer.proxy.RequestHead;
import loadbalancer.proxy.ResponseStream;
import loadbalancer.proxy.UpstreamTransport;
import loadbalancer.transport.ListeningAddress;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A request or its answer meets the end of an upstream's connection. */
class UpstreamCrossingsTest extends OnSockets {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CLOSE = "Connection: close\r\n";
    private static final long IDLE_MICROS = 100_000_000;

    private EventLoop loop;
    private Http1UpstreamTransport upstreams;

    @BeforeEach
    void upstreams() throws Exception {
        loop = group.next();
        upstreams =
                loop.submit(
                                () ->
                                        new Http1UpstreamTransport(
                                                new SocketTransport(loop),
                                                5_000_000,
                                                IDLE_MICROS,
                                                10))
                        .get();
    }

    // ---- What peers do, and what an attempt hears
    // ----------------------------------------------------

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private enum End {
        FIN,
        RST;

        void of(Socket socket) throws IOException {
            if (this == FIN) {
                socket.shutdownOutput();
            } else {
                Sockets.reset(socket);
            }
        }
    }

    /** An act that may fail. */
    private interface Act {
        void run() throws Exception;
    }

    /** Holds the loop still meanwhile, so that it meets all of that in one turn. */
    private void inOneTurn(Act act) throws Exception {
        CountDownLatch still = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(
                () -> {
                    still.countDown();
                    try {
                        done.await();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
        still.await();
        try {
            act.run();
        } finally {
            done.countDown();
        }
    }

    /** One upstream at a port of loopback. */
    private static EndpointListUpdate at(int port, EndpointState state, long startedMs) {
        return new EndpointListUpdate(
                1,
                state != EndpointState.REMOVED,
                List.of(
                        new EndpointListUpdate.Entry(
                                "s0",
                                new InetSocketAddress("127.0.0.1", port),
                                "z",
                                "k",
                                0,
                                state,
                                1,
                                startedMs)));
    }

    private static int port(Server server) {
        return Integer.parseInt(server.addr().substring(server.addr().indexOf(':') + 1));
    }

    private Server listed(Server server) throws Exception {
        inLoop(() -> upstreams.updateEndpoints(at(port(server), EndpointState.READY, 0)));
        return server;
    }

    private void inLoop(Runnable what) throws Exception {
        loop.submit(what).get();
    }

    /** One attempt, and what it hears. */
    private final class Heard implements UpstreamTransport.Listener, ResponseStream {
        final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        final StringBuffer large = new StringBuffer();
        volatile boolean may = true;
        volatile int asked;
        Runnable whenAsked = () -> {};
        UpstreamTransport.Attempt attempt;
        RequestBody body;

        @Override
        public boolean mayBegin() {
            asked++;
            whenAsked.run();
            return may;
        }

        @Override
        public void requestWritten() {
            events.add("written");
        }

        @Override
        public void responseHeadReceived() {
            events.add("began");
        }

        @Override
        public ResponseStream responseStarted(long length) {
            events.add("opened " + length);
            return this;
        }

        @Override
        public void write(ByteBuf bytes) {
            large.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
        }

        @Override
        public void end(boolean whole) {
            events.add(whole ? "whole" : "broken off");
        }

        @Override
        public boolean isWritable(Runnable resume) {
            return true;
        }

        @Override
        public void ended(AttemptOutcome outcome, UpstreamTransport.Response answer) {
            events.add(
                    outcome
                            + (answer == null
                                    ? ""
                                    : " " + answer.body().toString(StandardCharsets.US_ASCII)));
        }

        void hears(String... expected) throws InterruptedException {
            for (String e : expected) {
                assertEquals(e, Sockets.next(events));
            }
        }

        /** And nothing more, also not in the turn behind. */
        void hearsLast(String... expected) throws Exception {
            hears(expected);
            inLoop(() -> {});
            assertEquals(List.of(), List.copyOf(events));
        }

        /** In the loop. */
        Heard starts(RequestBody body) {
            attempt =
                    upstreams.start(
                            "s0",
                            new RequestHead("POST", "/x", "app.svc", true, List.of()),
                            body,
                            this);
            assertTrue(
                    events.stream().allMatch("written"::equals),
                    "told of its end from within the call");
            return this;
        }

        void isServed() throws Exception {
            hearsLast("written", "began", "SUCCESS done");
        }
    }

    private Heard ask(RequestBody body) throws Exception {
        return loop.submit(() -> new Heard().starts(body)).get();
    }

    private Heard ask() throws Exception {
        return ask(RequestBody.empty());
    }

    // ---- Answers that end with their connection
    // ------------------------------------------------------

    /** The codec makes a last content of every end; it was served as whole. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n", "Connection: keep-alive\r\n"})
    void resetIsNoEndOfAnAnswerWithNoLength(String connection) throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        listed(
                server(
                        (m, s) -> {
                            write(s, OK + connection + "\r\nhal");
                            read.await();
                            Sockets.reset(s);
                        }));
        Heard heard = ask();
        heard.hears("written", "began");
        read.countDown();
        heard.hearsLast("CONNECTION_RESET");
    }

    /** All bytes and the end lie ready when the loop comes to read. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n", "Connection: keep-alive\r\n"})
    void resetInTheSameMomentIsNoEndEither(String connection) throws Exception {
        atOnce(End.RST, OK + connection + "\r\nhal", "began", "CONNECTION_RESET");
    }

    @Test
    void finIsTheEndOfAnAnswerWithNoLength() throws Exception {
        atOnce(End.FIN, OK + CLOSE + "\r\nwhole", "began", "SUCCESS whole");
        atOnce(End.FIN, "HTTP/1.0 200 OK\r\n\r\nwhole", "began", "SUCCESS whole");
    }

    /**
     * Its length was lost on the way: bytes may be missing, or there may be some that are not its
     * own.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: keep-alive\r\n"})
    void finEndsNoAnswerThatDidNotAnnounceIt(String connection) throws Exception {
        atOnce(End.FIN, OK + connection + "\r\nwhole", "began", "CONNECTION_RESET");
        atOnce(End.FIN, OK + connection + "\r\n", "began", "CONNECTION_RESET");
    }

    @Test
    void finBehindTheHeadIsTheEndOfAnEmptyAnswer() throws Exception {
        atOnce(End.FIN, OK + CLOSE + "\r\n", "began", "SUCCESS ");
    }

    @Test
    void resetBehindTheHeadIsNoEnd() throws Exception {
        atOnce(End.RST, OK + CLOSE + "\r\n", "began", "CONNECTION_RESET");
    }

    /** A FIN amid a head, a length or a chunk ends nothing, and before any byte neither. */
    @ParameterizedTest
    @EnumSource(End.class)
    void otherAnswersDoNotEndWithTheirConnection(End end) throws Exception {
        atOnce(end, "", "CONNECTION_RESET");
        atOnce(end, "HTTP/1.1 200 O", "CONNECTION_RESET");
        atOnce(end, OK + "Content-Length: 9\r\n\r\nhal", "began", "CONNECTION_RESET");
        atOnce(end, OK + "Transfer-Encoding: chunked\r\n\r\n9\r\nhal", "began", "CONNECTION_RESET");
        atOnce(
                end,
                OK + "Transfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n",
                "began",
                "CONNECTION_RESET");
    }

    private void atOnce(End end, String answer, String... heard) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch gone = new CountDownLatch(1);
        listed(
                server(
                        (m, s) -> {
                            go.await();
                            write(s, answer);
                            end.of(s);
                            gone.countDown();
                        }));
        Heard attempt = ask();
        attempt.hears("written");
        inOneTurn(
                () -> {
                    go.countDown();
                    gone.await();
                });
        attempt.hearsLast(heard);
    }

    /** The reset comes behind all bytes, and what was whole before it is served. */
    @ParameterizedTest
    @EnumSource(End.class)
    void wholeAnswerIsServedWhateverComesBehindIt(End end) throws Exception {
        atOnce(end, OK + "Content-Length: 5\r\n\r\nwhole", "began", "SUCCESS whole");
        atOnce(
                end,
                OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
                "began",
                "SUCCESS whole");
    }

    /** Its client has got the beginning by then, and learns that this is not all. */
    @ParameterizedTest
    @EnumSource(End.class)
    void largeAnswerWithNoLengthIsWholeOnlyIfItsConnectionEndsInOrder(End end) throws Exception {
        CountDownLatch passed = new CountDownLatch(1);
        String text = "x".repeat(2 * RequestBody.MAX_BUFFERED_BYTES);
        listed(
                server(
                        (m, s) -> {
                            write(s, OK + CLOSE + "\r\n" + text);
                            passed.await();
                            end.of(s);
                        }));
        Heard heard = ask();
        heard.hears("written", "began", "opened -1");
        while (heard.large.length() < text.length()) {
            Thread.onSpinWait();
        }
        passed.countDown();
        if (end == End.FIN) {
            heard.hearsLast("whole", "SUCCESS ");
            assertEquals(text, heard.large.toString());
        } else {
            heard.hearsLast("broken off", "CONNECTION_RESET");
        }
    }

    /**
     * From end to end: the request may have run, so it is answered as failed and not sent again.
     */
    @Test
    void clientOfAnAnswerThatWasResetIsToldOfAFailure() throws Exception {
        Script half =
                (m, s) -> {
                    write(s, OK + "Connection: close\r\n\r\nhal");
                    Sockets.reset(s);
                };
        Server one = server(half);
        Server two = server(half);
        start(one, two);
        assertFailed(client().write(submit()).read());
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void clientOfALargeAnswerCanTellWhetherItIsWhole(End end) throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        start(
                server(
                        (m, s) -> {
                            write(
                                    s,
                                    OK
                                            + CLOSE
                                            + "\r\n"
                                            + "x".repeat(2 * RequestBody.MAX_BUFFERED_BYTES));
                            begun.await();
                            end.of(s);
                        }));
        Client client = client().write(request("POST", "submit", "9000", "Connection: close\r\n"));
        assertEquals('H', client.socket.getInputStream().read());
        begun.countDown();
        String all =
                new String(
                        client.socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        if (end == End.FIN) {
            assertTrue(all.endsWith("\r\n0\r\n\r\n"));
        } else {
            assertFalse(all.endsWith("\r\n0\r\n\r\n"));
        }
    }

    // ---- Before the first byte
    // -----------------------------------------------------------------------

    /** On a connection that stands idle: it stays so, for the next one. */
    @Test
    void attemptThatMayNoLongerBeginLeavesTheIdleConnectionAsItIs() throws Exception {
        Server server = listed(server(SERVE));
        ask().isServed();
        Heard late =
                loop.submit(
                                () -> {
                                    Heard heard = new Heard();
                                    heard.may = false;
                                    return heard.starts(RequestBody.empty());
                                })
                        .get();
        late.hearsLast("CONNECT_FAILED");
        assertEquals(1, late.asked);
        ask().isServed();
        assertEquals(2, server.requests.size());
        assertEquals(1, server.accepted.size());
    }

    /** While it is dialled the window closes; the new connection is kept for another. */
    @Test
    void attemptIsAskedOnceItsConnectionIsUp() throws Exception {
        Server server = listed(server(SERVE));
        Heard late =
                loop.submit(
                                () -> {
                                    Heard heard = new Heard().starts(RequestBody.empty());
                                    heard.may = false; // nothing dialled is up before the next turn
                                    return heard;
                                })
                        .get();
        late.hearsLast("CONNECT_FAILED");
        assertEquals(1, late.asked);
        ask().isServed();
        assertEquals(1, server.requests.size());
        assertEquals(1, server.accepted.size());
    }

    /**
     * Given up before it has heard of its end, when the connection that it left is another's
     * already.
     */
    @Test
    void attemptThatDidNotBeginClosesNoConnectionOfAnother() throws Exception {
        Server server = listed(server(SERVE));
        BlockingQueue<Heard> next = new LinkedBlockingQueue<>();
        Heard late =
                loop.submit(
                                () -> {
                                    Heard heard = new Heard();
                                    heard.may = false;
                                    heard.whenAsked =
                                            () ->
                                                    loop.execute(
                                                            () -> {
                                                                next.add(
                                                                        new Heard()
                                                                                .starts(
                                                                                        RequestBody
                                                                                                .empty()));
                                                                heard.attempt.abandon();
                                                            });
                                    return heard.starts(RequestBody.empty());
                                })
                        .get();
        Sockets.next(next).isServed();
        late.hearsLast();
        assertEquals(1, server.accepted.size());
    }

    private enum Change {
        DRAINS,
        GONE,
        RESTARTED,
        MOVED
    }

    private EndpointListUpdate told(Change change, int port) {
        return switch (change) {
            case DRAINS -> at(port, EndpointState.DRAINING, 0);
            case GONE -> at(port, EndpointState.REMOVED, 0);
            case RESTARTED -> at(port, EndpointState.READY, 5);
            case MOVED -> at(port + 1, EndpointState.READY, 0);
        };
    }

    /** The list changes between the decision and the first byte. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void nothingGoesToAnUpstreamThatChangesWhileItIsDialled(Change change) throws Exception {
        Server server = server(SERVE);
        listed(server);
        inLoop(() -> upstreams.setMaxConnections(1));
        Heard heard =
                loop.submit(
                                () -> {
                                    Heard dialling = new Heard().starts(RequestBody.empty());
                                    upstreams.updateEndpoints(told(change, port(server)));
                                    return dialling;
                                })
                        .get();
        heard.hearsLast("CONNECT_FAILED");
        assertEquals(0, heard.asked);
        listed(server);
        ask().isServed();
        assertEquals(1, server.requests.size());
    }

    /** The list changes while the request is out: it goes on, but its connection is no other's. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void connectionToAProcessThatIsNoMoreIsNotKept(Change change) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Server server =
                server(
                        (m, s) -> {
                            go.await();
                            SERVE.on(m, s);
                        });
        listed(server);
        Heard heard = ask();
        heard.hears("written");
        inLoop(() -> upstreams.updateEndpoints(told(change, port(server))));
        go.countDown();
        heard.hearsLast("began", "SUCCESS done");
        assertEquals(0, Sockets.next(server.ended));
    }

    // ---- Idle connections
    // ----------------------------------------------------------------------------

    private interface Deed {
        void on(Socket socket) throws IOException;
    }

    private enum Unread {
        HALF_A_LINE(s -> write(s, "HTTP/1.1 200 O")),
        ANSWER(s -> Sockets.answer(s, "200 OK", "", "stray")),
        BLANK(s -> write(s, "\r\n")),
        CLOSE(End.FIN::of),
        RESET(End.RST::of);

        final Deed deed;

        Unread(Deed deed) {
            this.deed = deed;
        }
    }

    /** It lies in the kernel when the connection is taken: it was served, or failed the request. */
    @ParameterizedTest
    @EnumSource(Unread.class)
    void connectionWithSomethingUnreadIsNotTaken(Unread unread) throws Exception {
        Server server = listed(server(SERVE));
        inLoop(() -> upstreams.setMaxConnections(1));
        ask().isServed();
        BlockingQueue<Heard> next = new LinkedBlockingQueue<>();
        inOneTurn(
                () -> {
                    Socket taken = server.accepted.get(0);
                    int ours = taken.getPort();
                    unread.deed.on(taken);
                    awaitUnread(ours);
                    loop.execute(() -> next.add(new Heard().starts(RequestBody.empty())));
                });
        Sockets.next(next).isServed();
        assertEquals(2, server.requests.size());
        assertEquals(2, server.accepted.size());
    }

    /**
     * Until the system has something for our end at that port: bytes, or another state than
     * established.
     */
    private static void awaitUnread(int port) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        String restful = String.format(":%04X [0-9A-F:]+ 01 [0-9A-F]+:00000000 .*", port);
        while (Stream.of("tcp", "tcp6")
                .flatMap(UpstreamCrossingsTest::connections)
                .anyMatch(line -> line.replaceFirst("^ *[0-9]+: [0-9A-F]+", "").matches(restful))) {
            assertTrue(System.nanoTime() < end, "nothing has come");
            Thread.onSpinWait();
        }
    }

    private static Stream<String> connections(String family) {
        try {
            Path file = Path.of("/proc/net", family);
            return Files.exists(file) ? Files.readAllLines(file).stream() : Stream.of();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Those that were busy when the limit fell are closed as they become idle. */
    @Test
    void connectionBeyondALimitThatFellMeanwhileIsNotKept() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Server server =
                listed(
                        server(
                                (m, s) -> {
                                    go.await();
                                    SERVE.on(m, s);
                                }));
        Heard one = ask();
        Heard two = ask();
        one.hears("written");
        two.hears("written");
        inLoop(() -> upstreams.setMaxConnections(1));
        go.countDown();
        one.hearsLast("began", "SUCCESS done");
        two.hearsLast("began", "SUCCESS done");
        Sockets.next(server.ended);
        ask().isServed();
        assertEquals(2, server.accepted.size(), "the other one was kept");
    }

    /**
     * One is dialled and there may be no other: the second attempt fails at once, and takes no
     * place.
     */
    @Test
    void limitHoldsWhileADialIsOut() throws Exception {
        Server server = listed(server(SERVE));
        inLoop(() -> upstreams.setMaxConnections(1));
        List<Heard> both =
                loop.submit(
                                () ->
                                        List.of(
                                                new Heard().starts(RequestBody.empty()),
                                                new Heard().starts(RequestBody.empty())))
                        .get();
        both.get(1).hearsLast("CONNECT_FAILED");
        both.get(0).isServed();
        ask().isServed();
        assertEquals(1, server.accepted.size());
    }

    private enum Drop {
        CLOSED,
        EXPIRED,
        BEYOND_THE_LIMIT
    }

    /** Dropped and asked for in one turn: the next request goes on a connection of its own. */
    @ParameterizedTest
    @EnumSource(Drop.class)
    void idleConnectionThatIsDroppedIsNotTakenInTheSameTurn(Drop drop) throws Exception {
        Server server = listed(server(SERVE));
        inLoop(() -> upstreams.setMaxConnections(1));
        ask().isServed();
        loop.submit(
                        () -> {
                            switch (drop) {
                                case CLOSED -> upstreams.closeIdleConnections("s0");
                                case EXPIRED -> upstreams.setTimeouts(5_000_000, 0);
                                default -> upstreams.setMaxConnections(0);
                            }
                            upstreams.setMaxConnections(1);
                            return new Heard().starts(RequestBody.empty());
                        })
                .get()
                .isServed();
        assertEquals(0, Sockets.next(server.ended));
        assertEquals(2, server.accepted.size());
    }

    /** It is served, and what comes behind it is read no further than its own turn. */
    @Test
    void floodBehindAWholeAnswerEndsTheConnection() throws Exception {
        Server server =
                listed(
                        server(
                                (m, s) -> {
                                    SERVE.on(m, s);
                                    while (true) {
                                        write(
                                                s,
                                                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
                                                        .repeat(100));
                                    }
                                }));
        inLoop(() -> upstreams.setMaxConnections(1));
        ask().isServed();
        assertEquals(0, Sockets.next(server.ended));
        ask().isServed();
    }

    /** Its attempt's time is what ends it. */
    @Test
    void answerWithoutEndEndsAsItIsGivenUp() throws Exception {
        Server server =
                listed(
                        server(
                                (m, s) -> {
                                    Sockets.beginChunks(s);
                                    Sockets.chunk(s, "x"); // and says no more
                                }));
        Heard heard = ask();
        heard.hears("written", "began");
        inLoop(heard.attempt::abandon);
        heard.hearsLast();
        assertEquals(0, Sockets.next(server.ended));
        nextIsServed();
    }

    // ---- What comes before an answer
    // -----------------------------------------------------------------

    /** It kept the loop at work until the attempt's time was up. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 100 Continue\r\n\r\n", "\r\n"})
    void interimAnswersWithoutEndAreSpoilt(String again) throws Exception {
        Server server =
                listed(
                        server(
                                (m, s) -> {
                                    while (true) {
                                        write(s, again.repeat(100));
                                    }
                                }));
        ask().hearsLast("written", "CONNECTION_RESET");
        assertEquals(0, Sockets.next(server.ended));
    }

    @Test
    void someInterimAnswersArePassedOver() throws Exception {
        listed(
                server(
                        (m, s) -> {
                            write(s, "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n".repeat(50));
                            SERVE.on(m, s);
                        }));
        ask().isServed();
        ask().isServed();
    }

    // ---- Requests that are held up on their way
    // ------------------------------------------------------

    /** Far more than sockets hold for a reader that takes nothing. */
    private static final int HELD_UP = 24 << 20;

    /** An upstream by hand: nothing is read or written but by the test. */
    private static final class Peer implements AutoCloseable {
        final ServerSocket listening = new ServerSocket();
        private Socket socket;

        Peer() throws IOException {
            listening.setReceiveBufferSize(4096);
            listening.bind(new InetSocketAddress("127.0.0.1", 0));
        }

        /** Accepts, and reads the head of the request. */
        Socket socket() throws IOException {
            if (socket == null) {
                socket = listening.accept();
                socket.setSoTimeout(Sockets.PATIENCE_S * 1_000);
                for (int end = 0; end < 4; ) {
                    end = socket.getInputStream().read() == "\r\n\r\n".charAt(end) ? end + 1 : 0;
                }
            }
            return socket;
        }

        @Override
        public void close() throws IOException {
            listening.close();
            if (socket != null) {
                socket.close();
            }
        }
    }

    /** In the loop: a request whose last byte can't be written before the peer reads. */
    private Heard startsHeldUp(boolean ended) {
        RequestBody body = new RequestBody(HELD_UP, System::nanoTime, () -> {});
        Heard heard = new Heard();
        heard.body = body;
        body.add(Unpooled.wrappedBuffer(new byte[HELD_UP - 1]));
        heard.starts(body);
        if (ended) {
            body.add(Unpooled.wrappedBuffer(new byte[1]));
            body.end();
        }
        return heard;
    }

    private Heard heldUp(Peer peer, boolean ended) throws Exception {
        inLoop(
                () -> {
                    upstreams.setMaxConnections(1);
                    upstreams.updateEndpoints(
                            at(peer.listening.getLocalPort(), EndpointState.READY, 0));
                });
        Heard heard = loop.submit(() -> startsHeldUp(ended)).get();
        peer.socket();
        inLoop(() -> {});
        assertEquals(List.of(), List.copyOf(heard.events));
        return heard;
    }

    /** The count of connections is right behind it: there may be one. */
    private void nextIsServed() throws Exception {
        listed(server(SERVE));
        ask().isServed();
    }

    /** However much of it is on its way, it can't have begun without its last byte. */
    @ParameterizedTest
    @CsvSource({"FIN,true", "RST,true", "FIN,false", "RST,false"})
    void requestThatWasNotWrittenWholeHasNotRun(End end, boolean ended) throws Exception {
        try (Peer peer = new Peer()) {
            Heard heard = heldUp(peer, ended);
            end.of(peer.socket());
            heard.hearsLast("CONNECT_FAILED");
            nextIsServed();
        }
    }

    /** Drained, gone or moved: what has begun goes on. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void requestThatIsPartlyWrittenGoesOnWhateverTheListSays(Change change) throws Exception {
        try (Peer peer = new Peer()) {
            Heard heard = heldUp(peer, true);
            inLoop(() -> upstreams.updateEndpoints(told(change, peer.listening.getLocalPort())));
            peer.socket().getInputStream().skipNBytes(HELD_UP);
            heard.hears("written");
            SERVE.on(null, peer.socket());
            heard.hearsLast("began", "SUCCESS done");
            nextIsServed();
        }
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void requestThatWasWrittenWholeMayHaveRun(End end) throws Exception {
        try (Peer peer = new Peer()) {
            Heard heard = heldUp(peer, true);
            peer.socket().getInputStream().skipNBytes(HELD_UP);
            heard.hears("written");
            end.of(peer.socket());
            heard.hearsLast("CONNECTION_RESET");
            nextIsServed();
        }
    }

    /** A request begins with its last byte: what is good before that was made for another. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\n\r\nstray",
                "Content-Length: 200000\r\n\r\nstray",
                "Content-Length: x\r\n\r\n",
                "\r\nstray"
            })
    void goodAnswerToARequestNotYetWrittenIsNotServed(String rest) throws Exception {
        try (Peer peer = new Peer()) {
            Heard heard = heldUp(peer, true);
            write(peer.socket(), OK + rest);
            heard.hearsLast("CONNECT_FAILED");
            nextIsServed();
        }
    }

    @Test
    void requestThatIsTurnedAwayBeforeItIsWrittenIsTurnedAway() throws Exception {
        try (Peer peer = new Peer()) {
            Heard heard = heldUp(peer, true);
            Sockets.answer(peer.socket(), "503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
            heard.hearsLast("began", "REJECTED ");
            nextIsServed();
        }
    }

    /** Nothing more of it is written, in whatever order the end of its body comes. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void abandonedRequestIsNotWrittenOn(boolean ended) throws Exception {
        try (Peer peer = new Peer()) {
            Heard heard = heldUp(peer, ended);
            inLoop(
                    () -> {
                        heard.attempt.abandon();
                        if (!ended) {
                            heard.body.add(Unpooled.wrappedBuffer(new byte[1]));
                            heard.body.end();
                        }
                    });
            int came = 0;
            byte[] piece = new byte[64 * 1024];
            for (int n = peer.socket().getInputStream().read(piece); n > 0; ) {
                came += n;
                n = peer.socket().getInputStream().read(piece);
            }
            assertTrue(came < HELD_UP, "it was written whole");
            heard.hearsLast();
            nextIsServed();
        }
    }

    /** Abandoned while its connection is dialled, before and in the turn in which that is up. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void abandonedRequestIsNotBegun(boolean atOnce) throws Exception {
        Server server = listed(server(SERVE));
        inLoop(() -> upstreams.setMaxConnections(1));
        Heard heard =
                loop.submit(
                                () -> {
                                    Heard dialling = new Heard().starts(RequestBody.empty());
                                    if (atOnce) {
                                        dialling.attempt.abandon();
                                    } else {
                                        loop.execute(
                                                dialling.attempt
                                                        ::abandon); // behind the turn that connects
                                    }
                                    return dialling;
                                })
                        .get();
        inLoop(() -> {});
        heard.hearsLast();
        assertEquals(0, heard.asked);
        ask().isServed();
        assertEquals(1, server.requests.size());
    }

    /** There is no descriptor for a socket: that attempt fails, and takes no place. */
    @Test
    void attemptWithNoSocketFailsAndTakesNoPlace() throws Exception {
        boolean[] full = {true};
        Transport real = new SocketTransport(loop);
        upstreams =
                loop.submit(
                                () ->
                                        new Http1UpstreamTransport(
                                                new Scarce(real, full), 5_000_000, IDLE_MICROS, 1))
                        .get();
        listed(server(SERVE));
        for (int i = 0; i < 3; i++) {
            ask().hearsLast("CONNECT_FAILED");
        }
        inLoop(() -> full[0] = false);
        ask().isServed();
    }

    /** Sockets as long as there is a descriptor for one. */
    private record Scarce(Transport real, boolean[] full) implements Transport {
        @Override
        public EventLoop loop() {
            return real.loop();
        }

        @Override
        public long nanoTime() {
            return real.nanoTime();
        }

        @Override
        public long wallMillis() {
            return real.wallMillis();
        }

        @Override
        public RandomGenerator random() {
            return real.random();
        }

        @Override
        public Channel outgoing() {
            if (full[0]) {
                throw new ChannelException("no socket", new IOException("Too many open files"));
            }
            return real.outgoing();
        }

        @Override
        public void readNow(Channel channel) {
            real.readNow(channel);
        }

        @Override
        public ListeningAddress listening() {
            return real.listening();
        }

        @Override
        public ListeningAddress listeningAlone() {
            return real.listeningAlone();
        }
    }
}
