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
import loadbalancer.transport.ListeningChannel;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests and responses that coincide with the end of an upstream connection. */
class UpstreamConnectionRaceTest extends LoopbackNodeFixture {
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

    // Fixture

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private enum End {
        FIN,
        RST;

        void performOn(Socket socket) throws IOException {
            if (this == FIN) {
                socket.shutdownOutput();
            } else {
                Sockets.reset(socket);
            }
        }
    }

    /** An action that may throw. */
    private interface Action {
        void run() throws Exception;
    }

    /** Blocks the event loop during an action, so that it handles all effects in one iteration. */
    private void inOneIteration(Action action) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(
                () -> {
                    blocked.countDown();
                    try {
                        done.await();
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
        blocked.await();
        try {
            action.run();
        } finally {
            done.countDown();
        }
    }

    /** Returns a list with one upstream at a port of the loopback address. */
    private static EndpointListUpdate listOf(int port, EndpointState state, long startedMs) {
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

    private Server listServer(Server server) throws Exception {
        runOnLoop(() -> upstreams.updateEndpoints(listOf(port(server), EndpointState.READY, 0)));
        return server;
    }

    private void runOnLoop(Runnable action) throws Exception {
        loop.submit(action).get();
    }

    /** Starts an attempt and records its events. */
    private final class RecordingAttempt implements UpstreamTransport.Listener, ResponseStream {
        final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        final StringBuffer streamed = new StringBuffer();
        volatile boolean isAllowed = true;
        volatile int checks;
        Runnable onCheck = () -> {};
        UpstreamTransport.Attempt transportAttempt;
        RequestBody body;

        @Override
        public boolean mayBegin() {
            checks++;
            onCheck.run();
            return isAllowed;
        }

        @Override
        public void requestWritten() {
            events.add("written");
        }

        @Override
        public void responseHeadReceived() {
            events.add("head");
        }

        @Override
        public ResponseStream responseStarted(long length) {
            events.add("streaming " + length);
            return this;
        }

        @Override
        public void write(ByteBuf bytes) {
            streamed.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
        }

        @Override
        public void end(boolean complete) {
            events.add(complete ? "complete" : "incomplete");
        }

        @Override
        public boolean isWritable(Runnable resume) {
            return true;
        }

        @Override
        public void ended(AttemptOutcome outcome, UpstreamTransport.Response response) {
            events.add(
                    outcome
                            + (response == null
                                    ? ""
                                    : " " + response.body().toString(StandardCharsets.US_ASCII)));
        }

        void expectEvents(String... expected) throws InterruptedException {
            for (String e : expected) {
                assertEquals(e, Sockets.next(events));
            }
        }

        /** Expects these events and no further ones up to the next iteration of the event loop. */
        void expectOnlyEvents(String... expected) throws Exception {
            expectEvents(expected);
            runOnLoop(() -> {});
            assertEquals(List.of(), List.copyOf(events));
        }

        /** Called on the event loop. */
        RecordingAttempt start(RequestBody body) {
            transportAttempt =
                    upstreams.start(
                            "s0",
                            new RequestHead("POST", "/x", "app.svc", true, List.of()),
                            body,
                            this);
            assertTrue(
                    events.stream().allMatch("written"::equals), "ended during the call to start");
            return this;
        }

        void expectServed() throws Exception {
            expectOnlyEvents("written", "head", "SUCCESS done");
        }
    }

    private RecordingAttempt startAttempt(RequestBody body) throws Exception {
        return loop.submit(() -> new RecordingAttempt().start(body)).get();
    }

    private RecordingAttempt startAttempt() throws Exception {
        return startAttempt(RequestBody.empty());
    }

    // Responses that end with their connection

    /** The codec makes a last content of every end, which was served as a complete response. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n", "Connection: keep-alive\r\n"})
    void resetDoesNotEndResponseWithoutLength(String connection) throws Exception {
        CountDownLatch headReceived = new CountDownLatch(1);
        listServer(
                server(
                        (m, s) -> {
                            write(s, OK + connection + "\r\nhal");
                            headReceived.await();
                            Sockets.reset(s);
                        }));
        RecordingAttempt attempt = startAttempt();
        attempt.expectEvents("written", "head");
        headReceived.countDown();
        attempt.expectOnlyEvents("CONNECTION_RESET");
    }

    /** All bytes and the reset are available when the event loop reads. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n", "Connection: keep-alive\r\n"})
    void resetReadTogetherWithBytesDoesNotEndResponse(String connection) throws Exception {
        respondAndEndAtOnce(End.RST, OK + connection + "\r\nhal", "head", "CONNECTION_RESET");
    }

    @Test
    void finEndsResponseWithoutLength() throws Exception {
        respondAndEndAtOnce(End.FIN, OK + CLOSE + "\r\nwhole", "head", "SUCCESS whole");
        respondAndEndAtOnce(End.FIN, "HTTP/1.0 200 OK\r\n\r\nwhole", "head", "SUCCESS whole");
    }

    /** The length of the response was lost: bytes may be missing, or belong to another response. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: keep-alive\r\n"})
    void finDoesNotEndResponseWithoutAnnouncedClose(String connection) throws Exception {
        respondAndEndAtOnce(End.FIN, OK + connection + "\r\nwhole", "head", "CONNECTION_RESET");
        respondAndEndAtOnce(End.FIN, OK + connection + "\r\n", "head", "CONNECTION_RESET");
    }

    @Test
    void finAfterHeadEndsEmptyResponse() throws Exception {
        respondAndEndAtOnce(End.FIN, OK + CLOSE + "\r\n", "head", "SUCCESS ");
    }

    @Test
    void resetAfterHeadDoesNotEndResponse() throws Exception {
        respondAndEndAtOnce(End.RST, OK + CLOSE + "\r\n", "head", "CONNECTION_RESET");
    }

    /** A close within a head, a length or a chunk, or before any byte, ends no response. */
    @ParameterizedTest
    @EnumSource(End.class)
    void closeDoesNotEndOtherResponses(End end) throws Exception {
        respondAndEndAtOnce(end, "", "CONNECTION_RESET");
        respondAndEndAtOnce(end, "HTTP/1.1 200 O", "CONNECTION_RESET");
        respondAndEndAtOnce(end, OK + "Content-Length: 9\r\n\r\nhal", "head", "CONNECTION_RESET");
        respondAndEndAtOnce(
                end, OK + "Transfer-Encoding: chunked\r\n\r\n9\r\nhal", "head", "CONNECTION_RESET");
        respondAndEndAtOnce(
                end,
                OK + "Transfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n",
                "head",
                "CONNECTION_RESET");
    }

    private void respondAndEndAtOnce(End end, String response, String... events) throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        listServer(
                server(
                        (m, s) -> {
                            mayRespond.await();
                            write(s, response);
                            end.performOn(s);
                            ended.countDown();
                        }));
        RecordingAttempt attempt = startAttempt();
        attempt.expectEvents("written");
        inOneIteration(
                () -> {
                    mayRespond.countDown();
                    ended.await();
                });
        attempt.expectOnlyEvents(events);
    }

    /** The close or reset follows all bytes of a complete response. */
    @ParameterizedTest
    @EnumSource(End.class)
    void servesCompleteResponseDespiteClose(End end) throws Exception {
        respondAndEndAtOnce(end, OK + "Content-Length: 5\r\n\r\nwhole", "head", "SUCCESS whole");
        respondAndEndAtOnce(
                end,
                OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
                "head",
                "SUCCESS whole");
    }

    /** The client has the beginning by then, and has to learn that the response is incomplete. */
    @ParameterizedTest
    @EnumSource(End.class)
    void streamedResponseWithoutLengthIsCompleteOnlyAfterFin(End end) throws Exception {
        CountDownLatch passed = new CountDownLatch(1);
        String text = "x".repeat(2 * RequestBody.MAX_BUFFERED_BYTES);
        listServer(
                server(
                        (m, s) -> {
                            write(s, OK + CLOSE + "\r\n" + text);
                            passed.await();
                            end.performOn(s);
                        }));
        RecordingAttempt attempt = startAttempt();
        attempt.expectEvents("written", "head", "streaming -1");
        while (attempt.streamed.length() < text.length()) {
            Thread.onSpinWait();
        }
        passed.countDown();
        if (end == End.FIN) {
            attempt.expectOnlyEvents("complete", "SUCCESS ");
            assertEquals(text, attempt.streamed.toString());
        } else {
            attempt.expectOnlyEvents("incomplete", "CONNECTION_RESET");
        }
    }

    /** The request may have been executed, so that it fails and is not retried. */
    @Test
    void failsRequestWhoseResponseWasReset() throws Exception {
        Script breakOff =
                (m, s) -> {
                    write(s, OK + "Connection: close\r\n\r\nhal");
                    Sockets.reset(s);
                };
        Server one = server(breakOff);
        Server two = server(breakOff);
        start(one, two);
        assertFailed(client().write(submit()).read());
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void showsClientWhetherStreamedResponseIsComplete(End end) throws Exception {
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
                            end.performOn(s);
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

    // Before the first byte

    /** The idle connection stays available to the next attempt. */
    @Test
    void deniedAttemptKeepsIdleConnection() throws Exception {
        Server server = listServer(server(SERVE));
        startAttempt().expectServed();
        RecordingAttempt late =
                loop.submit(
                                () -> {
                                    RecordingAttempt attempt = new RecordingAttempt();
                                    attempt.isAllowed = false;
                                    return attempt.start(RequestBody.empty());
                                })
                        .get();
        late.expectOnlyEvents("CONNECT_FAILED");
        assertEquals(1, late.checks);
        startAttempt().expectServed();
        assertEquals(2, server.requests.size());
        assertEquals(1, server.accepted.size());
    }

    /** The window closes during the connect; the new connection is kept for another attempt. */
    @Test
    void checksAttemptOnceAfterConnect() throws Exception {
        Server server = listServer(server(SERVE));
        RecordingAttempt late =
                loop.submit(
                                () -> {
                                    RecordingAttempt attempt =
                                            new RecordingAttempt().start(RequestBody.empty());
                                    attempt.isAllowed =
                                            false; // a connect completes in a later iteration
                                    return attempt;
                                })
                        .get();
        late.expectOnlyEvents("CONNECT_FAILED");
        assertEquals(1, late.checks);
        startAttempt().expectServed();
        assertEquals(1, server.requests.size());
        assertEquals(1, server.accepted.size());
    }

    /**
     * The attempt is abandoned before its end is reported, when another attempt already uses its
     * connection.
     */
    @Test
    void deniedAttemptDoesNotCloseConnectionOfAnother() throws Exception {
        Server server = listServer(server(SERVE));
        BlockingQueue<RecordingAttempt> next = new LinkedBlockingQueue<>();
        RecordingAttempt late =
                loop.submit(
                                () -> {
                                    RecordingAttempt attempt = new RecordingAttempt();
                                    attempt.isAllowed = false;
                                    attempt.onCheck =
                                            () ->
                                                    loop.execute(
                                                            () -> {
                                                                next.add(
                                                                        new RecordingAttempt()
                                                                                .start(
                                                                                        RequestBody
                                                                                                .empty()));
                                                                attempt.transportAttempt.abandon();
                                                            });
                                    return attempt.start(RequestBody.empty());
                                })
                        .get();
        Sockets.next(next).expectServed();
        late.expectOnlyEvents();
        assertEquals(1, server.accepted.size());
    }

    private enum Change {
        DRAINING,
        REMOVED,
        RESTARTED,
        MOVED
    }

    private EndpointListUpdate listAfter(Change change, int port) {
        return switch (change) {
            case DRAINING -> listOf(port, EndpointState.DRAINING, 0);
            case REMOVED -> listOf(port, EndpointState.REMOVED, 0);
            case RESTARTED -> listOf(port, EndpointState.READY, 5);
            case MOVED -> listOf(port + 1, EndpointState.READY, 0);
        };
    }

    /** The endpoint list changes between the decision and the first byte. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void sendsNothingToEndpointChangedDuringConnect(Change change) throws Exception {
        Server server = server(SERVE);
        listServer(server);
        runOnLoop(() -> upstreams.setMaxConnections(1));
        RecordingAttempt attempt =
                loop.submit(
                                () -> {
                                    RecordingAttempt connecting =
                                            new RecordingAttempt().start(RequestBody.empty());
                                    upstreams.updateEndpoints(listAfter(change, port(server)));
                                    return connecting;
                                })
                        .get();
        attempt.expectOnlyEvents("CONNECT_FAILED");
        assertEquals(0, attempt.checks);
        listServer(server);
        startAttempt().expectServed();
        assertEquals(1, server.requests.size());
    }

    /** The request in flight continues, but its connection is not used again. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void closesConnectionToChangedEndpointAfterResponse(Change change) throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        Server server =
                server(
                        (m, s) -> {
                            mayRespond.await();
                            SERVE.on(m, s);
                        });
        listServer(server);
        RecordingAttempt attempt = startAttempt();
        attempt.expectEvents("written");
        runOnLoop(() -> upstreams.updateEndpoints(listAfter(change, port(server))));
        mayRespond.countDown();
        attempt.expectOnlyEvents("head", "SUCCESS done");
        assertEquals(0, Sockets.next(server.ended));
    }

    // Idle connections

    private interface SocketAction {
        void performOn(Socket socket) throws IOException;
    }

    private enum Unread {
        PARTIAL_LINE(s -> write(s, "HTTP/1.1 200 O")),
        STRAY_RESPONSE(s -> Sockets.answer(s, "200 OK", "", "stray")),
        EMPTY_LINE(s -> write(s, "\r\n")),
        CLOSE(End.FIN::performOn),
        RESET(End.RST::performOn);

        final SocketAction action;

        Unread(SocketAction action) {
            this.action = action;
        }
    }

    /** Unread data in the kernel was served as the response, or failed the request. */
    @ParameterizedTest
    @EnumSource(Unread.class)
    void doesNotReuseConnectionWithUnreadData(Unread unread) throws Exception {
        Server server = listServer(server(SERVE));
        runOnLoop(() -> upstreams.setMaxConnections(1));
        startAttempt().expectServed();
        BlockingQueue<RecordingAttempt> next = new LinkedBlockingQueue<>();
        inOneIteration(
                () -> {
                    Socket accepted = server.accepted.get(0);
                    int balancerPort = accepted.getPort();
                    unread.action.performOn(accepted);
                    awaitUnread(balancerPort);
                    loop.execute(() -> next.add(new RecordingAttempt().start(RequestBody.empty())));
                });
        Sockets.next(next).expectServed();
        assertEquals(2, server.requests.size());
        assertEquals(2, server.accepted.size());
    }

    /**
     * Waits until the kernel has unread bytes for the balancer's socket at this port, or the socket
     * is in another state than established.
     */
    private static void awaitUnread(int port) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        String idlePattern = String.format(":%04X [0-9A-F:]+ 01 [0-9A-F]+:00000000 .*", port);
        while (Stream.of("tcp", "tcp6")
                .flatMap(UpstreamConnectionRaceTest::connections)
                .anyMatch(
                        line ->
                                line.replaceFirst("^ *[0-9]+: [0-9A-F]+", "")
                                        .matches(idlePattern))) {
            assertTrue(System.nanoTime() < end, "nothing has arrived");
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

    /** Connections in use when the limit is lowered are closed when they become idle. */
    @Test
    void closesConnectionsBeyondLoweredLimit() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        Server server =
                listServer(
                        server(
                                (m, s) -> {
                                    mayRespond.await();
                                    SERVE.on(m, s);
                                }));
        RecordingAttempt one = startAttempt();
        RecordingAttempt two = startAttempt();
        one.expectEvents("written");
        two.expectEvents("written");
        runOnLoop(() -> upstreams.setMaxConnections(1));
        mayRespond.countDown();
        one.expectOnlyEvents("head", "SUCCESS done");
        two.expectOnlyEvents("head", "SUCCESS done");
        Sockets.next(server.ended);
        startAttempt().expectServed();
        assertEquals(2, server.accepted.size(), "one connection was kept");
    }

    /**
     * With one connect in progress and a limit of one connection, the second attempt fails at once
     * and does not count.
     */
    @Test
    void countsConnectInProgressAgainstLimit() throws Exception {
        Server server = listServer(server(SERVE));
        runOnLoop(() -> upstreams.setMaxConnections(1));
        List<RecordingAttempt> both =
                loop.submit(
                                () ->
                                        List.of(
                                                new RecordingAttempt().start(RequestBody.empty()),
                                                new RecordingAttempt().start(RequestBody.empty())))
                        .get();
        both.get(1).expectOnlyEvents("CONNECT_FAILED");
        both.get(0).expectServed();
        startAttempt().expectServed();
        assertEquals(1, server.accepted.size());
    }

    private enum DropCause {
        CLOSED,
        EXPIRED,
        BEYOND_THE_LIMIT
    }

    /** A request in the iteration in which a connection is dropped gets a new connection. */
    @ParameterizedTest
    @EnumSource(DropCause.class)
    void doesNotReuseConnectionDroppedInSameIteration(DropCause cause) throws Exception {
        Server server = listServer(server(SERVE));
        runOnLoop(() -> upstreams.setMaxConnections(1));
        startAttempt().expectServed();
        loop.submit(
                        () -> {
                            switch (cause) {
                                case CLOSED -> upstreams.closeIdleConnections("s0");
                                case EXPIRED -> upstreams.setTimeouts(5_000_000, 0);
                                default -> upstreams.setMaxConnections(0);
                            }
                            upstreams.setMaxConnections(1);
                            return new RecordingAttempt().start(RequestBody.empty());
                        })
                .get()
                .expectServed();
        assertEquals(0, Sockets.next(server.ended));
        assertEquals(2, server.accepted.size());
    }

    /** The response is served; bytes after it are read only in the same iteration. */
    @Test
    void closesConnectionFloodedAfterCompleteResponse() throws Exception {
        Server server =
                listServer(
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
        runOnLoop(() -> upstreams.setMaxConnections(1));
        startAttempt().expectServed();
        assertEquals(0, Sockets.next(server.ended));
        startAttempt().expectServed();
    }

    /** Only the time-out of the attempt ends such a response. */
    @Test
    void closesConnectionOfAbandonedEndlessResponse() throws Exception {
        Server server =
                listServer(
                        server(
                                (m, s) -> {
                                    Sockets.beginChunks(s);
                                    Sockets.chunk(s, "x"); // then silence
                                }));
        RecordingAttempt attempt = startAttempt();
        attempt.expectEvents("written", "head");
        runOnLoop(attempt.transportAttempt::abandon);
        attempt.expectOnlyEvents();
        assertEquals(0, Sockets.next(server.ended));
        expectNextServed();
    }

    // Before the response

    /** Endless interim responses kept the event loop busy until the time-out of the attempt. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 100 Continue\r\n\r\n", "\r\n"})
    void failsAttemptWithEndlessInterimResponses(String interim) throws Exception {
        Server server =
                listServer(
                        server(
                                (m, s) -> {
                                    while (true) {
                                        write(s, interim.repeat(100));
                                    }
                                }));
        startAttempt().expectOnlyEvents("written", "CONNECTION_RESET");
        assertEquals(0, Sockets.next(server.ended));
    }

    @Test
    void skipsInterimResponses() throws Exception {
        listServer(
                server(
                        (m, s) -> {
                            write(s, "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n".repeat(50));
                            SERVE.on(m, s);
                        }));
        startAttempt().expectServed();
        startAttempt().expectServed();
    }

    // Requests blocked while they are written

    /** Number of bytes far beyond the socket buffers of a peer that does not read. */
    private static final int BLOCKED_BYTES = 24 << 20;

    /** An upstream that reads and writes only when the test does. */
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

    /** Starts a request whose last byte can't be written before the peer reads. */
    private RecordingAttempt startBlocked(boolean ended) {
        RequestBody body =
                new RequestBody(BLOCKED_BYTES, System::nanoTime, MemoryQuota.unlimited(), () -> {});
        RecordingAttempt attempt = new RecordingAttempt();
        attempt.body = body;
        body.add(Unpooled.wrappedBuffer(new byte[BLOCKED_BYTES - 1]));
        attempt.start(body);
        if (ended) {
            body.add(Unpooled.wrappedBuffer(new byte[1]));
            body.end();
        }
        return attempt;
    }

    private RecordingAttempt startBlockedAndAccept(Peer peer, boolean ended) throws Exception {
        runOnLoop(
                () -> {
                    upstreams.setMaxConnections(1);
                    upstreams.updateEndpoints(
                            listOf(peer.listening.getLocalPort(), EndpointState.READY, 0));
                });
        RecordingAttempt attempt = loop.submit(() -> startBlocked(ended)).get();
        peer.socket();
        runOnLoop(() -> {});
        assertEquals(List.of(), List.copyOf(attempt.events));
        return attempt;
    }

    /** Checks that the only connection of the limit is available again. */
    private void expectNextServed() throws Exception {
        listServer(server(SERVE));
        startAttempt().expectServed();
    }

    /** A request can't have been executed before its last byte is written. */
    @ParameterizedTest
    @CsvSource({"FIN,true", "RST,true", "FIN,false", "RST,false"})
    void reportsPartlyWrittenRequestAsNotExecuted(End end, boolean ended) throws Exception {
        try (Peer peer = new Peer()) {
            RecordingAttempt attempt = startBlockedAndAccept(peer, ended);
            end.performOn(peer.socket());
            attempt.expectOnlyEvents("CONNECT_FAILED");
            expectNextServed();
        }
    }

    /** A request that has begun continues despite a change of its endpoint. */
    @ParameterizedTest
    @EnumSource(Change.class)
    void continuesPartlyWrittenRequestAfterListChange(Change change) throws Exception {
        try (Peer peer = new Peer()) {
            RecordingAttempt attempt = startBlockedAndAccept(peer, true);
            runOnLoop(
                    () ->
                            upstreams.updateEndpoints(
                                    listAfter(change, peer.listening.getLocalPort())));
            peer.socket().getInputStream().skipNBytes(BLOCKED_BYTES);
            attempt.expectEvents("written");
            SERVE.on(null, peer.socket());
            attempt.expectOnlyEvents("head", "SUCCESS done");
            expectNextServed();
        }
    }

    @ParameterizedTest
    @EnumSource(End.class)
    void reportsWrittenRequestAsPossiblyExecuted(End end) throws Exception {
        try (Peer peer = new Peer()) {
            RecordingAttempt attempt = startBlockedAndAccept(peer, true);
            peer.socket().getInputStream().skipNBytes(BLOCKED_BYTES);
            attempt.expectEvents("written");
            end.performOn(peer.socket());
            attempt.expectOnlyEvents("CONNECTION_RESET");
            expectNextServed();
        }
    }

    /** A success before the last byte of a request must belong to another request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\n\r\nstray",
                "Content-Length: 200000\r\n\r\nstray",
                "Content-Length: x\r\n\r\n",
                "\r\nstray"
            })
    void doesNotServeSuccessBeforeRequestIsWritten(String rest) throws Exception {
        try (Peer peer = new Peer()) {
            RecordingAttempt attempt = startBlockedAndAccept(peer, true);
            write(peer.socket(), OK + rest);
            attempt.expectOnlyEvents("CONNECT_FAILED");
            expectNextServed();
        }
    }

    @Test
    void acceptsRejectionBeforeRequestIsWritten() throws Exception {
        try (Peer peer = new Peer()) {
            RecordingAttempt attempt = startBlockedAndAccept(peer, true);
            Sockets.answer(peer.socket(), "503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
            attempt.expectOnlyEvents("head", "REJECTED ");
            expectNextServed();
        }
    }

    /**
     * No further byte is written, whether the body ends before or after the request is abandoned.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void stopsWritingAbandonedRequest(boolean ended) throws Exception {
        try (Peer peer = new Peer()) {
            RecordingAttempt attempt = startBlockedAndAccept(peer, ended);
            runOnLoop(
                    () -> {
                        attempt.transportAttempt.abandon();
                        if (!ended) {
                            attempt.body.add(Unpooled.wrappedBuffer(new byte[1]));
                            attempt.body.end();
                        }
                    });
            int receivedBytes = 0;
            byte[] buffer = new byte[64 * 1024];
            for (int n = peer.socket().getInputStream().read(buffer); n > 0; ) {
                receivedBytes += n;
                n = peer.socket().getInputStream().read(buffer);
            }
            assertTrue(receivedBytes < BLOCKED_BYTES, "the request was written completely");
            attempt.expectOnlyEvents();
            expectNextServed();
        }
    }

    /** The request is abandoned before or in the iteration in which its connect completes. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void doesNotBeginRequestAbandonedDuringConnect(boolean atOnce) throws Exception {
        Server server = listServer(server(SERVE));
        runOnLoop(() -> upstreams.setMaxConnections(1));
        RecordingAttempt attempt =
                loop.submit(
                                () -> {
                                    RecordingAttempt connecting =
                                            new RecordingAttempt().start(RequestBody.empty());
                                    if (atOnce) {
                                        connecting.transportAttempt.abandon();
                                    } else {
                                        loop.execute(
                                                connecting.transportAttempt
                                                        ::abandon); // in the iteration that
                                        // completes the connect
                                    }
                                    return connecting;
                                })
                        .get();
        runOnLoop(() -> {});
        attempt.expectOnlyEvents();
        assertEquals(0, attempt.checks);
        startAttempt().expectServed();
        assertEquals(1, server.requests.size());
    }

    /** Without a free file descriptor an attempt fails and does not count against the limit. */
    @Test
    void attemptWithoutSocketDoesNotCountAgainstLimit() throws Exception {
        boolean[] exhausted = {true};
        Transport real = new SocketTransport(loop);
        upstreams =
                loop.submit(
                                () ->
                                        new Http1UpstreamTransport(
                                                new ScarceTransport(real, exhausted),
                                                5_000_000,
                                                IDLE_MICROS,
                                                1))
                        .get();
        listServer(server(SERVE));
        for (int i = 0; i < 3; i++) {
            startAttempt().expectOnlyEvents("CONNECT_FAILED");
        }
        runOnLoop(() -> exhausted[0] = false);
        startAttempt().expectServed();
    }

    /** Real sockets, whose creation fails while there is no free file descriptor. */
    private record ScarceTransport(Transport real, boolean[] exhausted) implements Transport {
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
        public MemoryQuota memoryQuota() {
            return real.memoryQuota();
        }

        @Override
        public Channel newOutboundChannel() {
            if (exhausted[0]) {
                throw new ChannelException("no socket", new IOException("Too many open files"));
            }
            return real.newOutboundChannel();
        }

        @Override
        public void readAvailable(Channel channel) {
            real.readAvailable(channel);
        }

        @Override
        public ListeningChannel newListener() {
            return real.newListener();
        }

        @Override
        public ListeningChannel newExclusiveListener() {
            return real.newExclusiveListener();
        }
    }
}
