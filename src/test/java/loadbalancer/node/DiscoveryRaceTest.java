package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.transport.ListeningChannel;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Endpoint lists and calls to discovery that coincide with the end of a watch, a move of the
 * discovery server or a failure, in an order that the peers enforce.
 */
class DiscoveryRaceTest extends LoopbackNodeFixture {
    private static final Logger LOGGER = Logger.getLogger("loadbalancer");

    private final List<LogRecord> logRecords = new CopyOnWriteArrayList<>();
    private final Handler logHandler =
            new Handler() {
                @Override
                public void publish(LogRecord logRecord) {
                    logRecords.add(logRecord);
                }

                @Override
                public void flush() {}

                @Override
                public void close() {}
            };

    @BeforeEach
    void addLogHandler() {
        LOGGER.addHandler(logHandler);
    }

    @AfterEach
    void removeLogHandler() {
        LOGGER.removeHandler(logHandler);
    }

    private static boolean isWatch(Message m) {
        return m.start().startsWith("GET /v1/servers?follow=1&since=");
    }

    /** Writes a chunk without a line break behind the text. */
    private static void writeChunk(Socket socket, String text) throws IOException {
        socket.getOutputStream()
                .write(
                        (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                                .getBytes("UTF-8"));
    }

    private static String indented(String list) {
        return list.replace("{", "{\n  ")
                .replace("}", "\n}")
                .replace("[", "[\n")
                .replace(",\"", ",\n    \"");
    }

    private void assertOneWarning(String text) {
        List<LogRecord> warnings =
                logRecords.stream()
                        .filter(l -> l.getLevel().intValue() >= Level.WARNING.intValue())
                        .toList();
        assertEquals(
                1,
                warnings.size(),
                () -> warnings.stream().map(LogRecord::getMessage).toList().toString());
        assertTrue(warnings.get(0).getMessage().contains(text), warnings.get(0).getMessage());
        assertEquals(1, warnings.get(0).getMessage().lines().count());
        assertEquals(null, warnings.get(0).getThrown());
    }

    private void assertGetsNoRequests(Server upstream) throws Exception {
        int before = upstream.requests.size();
        for (int i = 0; i < 6; i++) {
            assertEquals(200, client().write(submit()).read().status());
        }
        assertEquals(before, upstream.requests.size());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void acceptsIndentedList(boolean inPieces) throws Exception {
        Server before = server(SERVE);
        Server after = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            String text =
                                    indented(
                                                    list(
                                                            42,
                                                            true,
                                                            entry(
                                                                    "s-after",
                                                                    after.addr(),
                                                                    "Ready")))
                                            + "\n\n";
                            for (int i = 0; i < text.length(); i += inPieces ? 7 : text.length()) {
                                writeChunk(
                                        s,
                                        text.substring(
                                                i,
                                                Math.min(
                                                        text.length(),
                                                        i + (inPieces ? 7 : text.length()))));
                            }
                        });
        start(ready(before), discovery);
        awaitServedBy(after);
        assertGetsNoRequests(before);
        assertEquals(1, discovery.requests.size());
        assertEquals(
                List.of(), logRecords.stream().filter(l -> l.getLevel() == Level.WARNING).toList());
    }

    /**
     * The changes of a truncated or invalid line are not repeated on that watch; the complete list
     * contains them.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"version\":42,\"full\":false,\"servers\":[{\"id\":\"s-",
                "nonsense",
                "{\"version\":42,\"full\":false,\"servers\":[{\"id\":7}]}",
                "{}",
                "[]",
                "{\"version\":\"x\"}"
            })
    void fetchesCompleteListAfterInvalidLineAndKeepsWatch(String line) throws Exception {
        Server before = server(SERVE);
        Server after = server(SERVE);
        Server last = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            if (isWatch(m)) {
                                Sockets.beginChunks(s);
                                Sockets.chunk(s, line);
                                Sockets.chunk(s, "");
                                Sockets.chunk(s, line);
                                Sockets.chunk(s, "");
                            } else {
                                Sockets.answer(
                                        s,
                                        "200 OK",
                                        "",
                                        indented(
                                                list(43, true, entry("x", after.addr(), "Ready"))));
                            }
                        });
        start(ready(before), discovery);
        awaitServedBy(after);
        assertGetsNoRequests(before);
        assertTrue(isWatch(Sockets.next(discovery.requests)));
        assertTrue(Sockets.next(discovery.requests).start().startsWith("GET /v1/servers HTTP"));
        Sockets.chunk(discovery.accepted.get(0), list(44, true, entry("x", last.addr(), "Ready")));
        awaitServedBy(last);
        assertTrue(discovery.requests.isEmpty(), "the watch was not reopened");
        assertOneWarning("invalid line");
    }

    /** A connection that ends within a line: the new watch starts from the version that is held. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void reopensWatchFromKnownVersionAfterTruncatedLine(boolean reset) throws Exception {
        Server before = server(SERVE);
        Server after = server(SERVE);
        AtomicInteger calls = new AtomicInteger();
        String list = list(42, true, entry("x", after.addr(), "Ready"));
        Server discovery =
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            if (calls.getAndIncrement() > 0) {
                                Sockets.chunk(s, list);
                                return;
                            }
                            writeChunk(s, "\n" + list.substring(0, list.length() - 2));
                            if (reset) {
                                Sockets.reset(s);
                            } else {
                                s.close();
                            }
                        });
        start(ready(before), discovery);
        awaitServedBy(after);
        assertTrue(Sockets.next(discovery.requests).start().contains("since=41"));
        assertTrue(Sockets.next(discovery.requests).start().contains("since=41"));
        assertTrue(discovery.requests.isEmpty());
    }

    /** The server of the new watch lags behind; its list must not restore a drained endpoint. */
    @Test
    void ignoresOlderListOfNewWatch() throws Exception {
        Server drained = server(SERVE);
        Server other = server(SERVE);
        Server last = server(SERVE);
        String id = "s-" + drained.addr();
        AtomicInteger calls = new AtomicInteger();
        Server discovery =
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            if (calls.getAndIncrement() == 0) {
                                Sockets.chunk(
                                        s,
                                        list(50, false, entry(id, drained.addr(), "Terminating")));
                                s.close();
                                return;
                            }
                            assertTrue(m.start().contains("since=50"));
                            for (int i = 0; i < 3; i++) {
                                Sockets.chunk(
                                        s, list(49, true, entry(id, drained.addr(), "Ready")));
                            }
                            Sockets.chunk(s, list(51, false, entry("x", last.addr(), "Ready")));
                        });
        start(ready(drained, other), discovery);
        awaitServedBy(last);
        assertGetsNoRequests(drained);
        assertFalse(other.requests.isEmpty() && last.requests.isEmpty());
        assertOneWarning("older than the current version 50");
    }

    /**
     * The accept queue of the listener is full, so that the connection is not accepted before
     * discovery moves.
     */
    @Test
    void followsMoveOfDiscoveryDuringConnect() throws Exception {
        Server before = server(SERVE);
        Server after = server(SERVE);
        Server moved =
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            Sockets.chunk(s, list(3, true, entry("x", after.addr(), "Ready")));
                        });
        List<Socket> queued = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            fillAcceptQueue(full, queued);
            Server placeholder = server(HANG);
            start(ready(before), placeholder);
            Sockets.next(placeholder.requests);
            reload(placeholder.addr(), "127.0.0.1:" + full.getLocalPort());
            assertEquals(200, client().write(submit()).read().status());
            reload("127.0.0.1:" + full.getLocalPort(), moved.addr());
            assertTrue(Sockets.next(moved.requests).start().contains("since=0"));
            awaitServedBy(after);
            for (Socket s : queued) {
                s.close();
            }
            assertNoRequestTo(full, queued.size());
        }
        assertTrue(moved.requests.isEmpty());
    }

    private static void fillAcceptQueue(ServerSocket full, List<Socket> queued) throws IOException {
        while (true) {
            Socket one = new Socket();
            try {
                one.connect(full.getLocalSocketAddress(), 300);
                queued.add(one);
            } catch (IOException e) {
                one.close();
                return;
            }
        }
    }

    /** Checks that each connection in the accept queue was closed without a request. */
    private static void assertNoRequestTo(ServerSocket full, int queued) throws IOException {
        for (int i = 0; i < queued; i++) {
            try (Socket s = full.accept()) {
                s.setSoTimeout(Sockets.PATIENCE_S * 1_000);
                assertEquals(-1, s.getInputStream().read());
            }
        }
    }

    /** The former discovery server responds after the list of the new one has been applied. */
    @Test
    void ignoresResponseOfFormerDiscoveryServer() throws Exception {
        Server before = server(SERVE);
        Server after = server(SERVE);
        CountDownLatch newListApplied = new CountDownLatch(1);
        CountDownLatch oldListSent = new CountDownLatch(1);
        Server old =
                server(
                        (m, s) -> {
                            newListApplied.await();
                            try {
                                Sockets.beginChunks(s);
                                Sockets.chunk(
                                        s,
                                        list(99, true, entry("s-before", before.addr(), "Ready")));
                            } finally {
                                oldListSent.countDown();
                            }
                        });
        Server moved =
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            Sockets.chunk(s, list(3, true, entry("x", after.addr(), "Ready")));
                        });
        start(ready(before), old);
        Sockets.next(old.requests);
        reload(old.addr(), moved.addr());
        awaitServedBy(after);
        newListApplied.countDown();
        assertTrue(oldListSent.await(Sockets.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(0, Sockets.next(old.ended));
        assertGetsNoRequests(before);
        assertEquals(1, old.accepted.size());
        assertEquals(1, moved.accepted.size());
    }

    private void reload(String from, String to) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                Files.readString(file)
                        .replace("\"discovery\":\"" + from + "\"", "\"discovery\":\"" + to + "\""));
        group.next().submit(() -> running.reload()).sync();
    }

    /**
     * Without a free file descriptor, calls to discovery fail with a single log line, and succeed
     * once there is one.
     */
    @Test
    void callsDiscoveryAgainOnceADescriptorIsFree() throws Exception {
        Server before = server(SERVE);
        Server after = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            Sockets.chunk(s, list(42, true, entry("x", after.addr(), "Ready")));
                        });
        start(ready(before), server(HANG)); // writes the file
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                Files.readString(file)
                        .replaceAll(
                                "\"discovery\":\"[0-9.:]+\"",
                                "\"discovery\":\"" + discovery.addr() + "\""));
        CountDownLatch failed = new CountDownLatch(4);
        AtomicBoolean scarce = new AtomicBoolean(true);
        Transport scarceTransport = new ScarceTransport(group.next(), scarce, failed);
        Node second =
                Node.start(
                        file,
                        scarceTransport,
                        figures,
                        Files.createDirectory(folder.resolve("other")),
                        StateStorage.NONE,
                        LoadBalancerFactory.BALANCE);
        second.listen();
        node = second.server();
        assertTrue(failed.await(Sockets.PATIENCE_S, TimeUnit.SECONDS));
        assertTrue(discovery.requests.isEmpty());
        scarce.set(false);
        awaitServedBy(after);
        assertOneWarning("no socket");
        assertEquals(1, discovery.accepted.size());
        second.close();
    }

    /** Real sockets, whose creation fails while file descriptors are scarce. */
    private record ScarceTransport(Transport real, AtomicBoolean scarce, CountDownLatch failed)
            implements Transport {
        ScarceTransport(EventLoop loop, AtomicBoolean scarce, CountDownLatch failed) {
            this(new SocketTransport(loop), scarce, failed);
        }

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
        public void readAvailable(Channel channel) {
            real.readAvailable(channel);
        }

        @Override
        public MemoryQuota memoryQuota() {
            return real.memoryQuota();
        }

        @Override
        public Channel newOutboundChannel() {
            if (scarce.get()) {
                failed.countDown();
                throw new ChannelException("no socket", new SocketException("Too many open files"));
            }
            return real.newOutboundChannel();
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
