package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.http1.downstream.ShutdownTimes;
import loadbalancer.proxy.RequestBody;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Events that coincide with the steps of a shutdown or a hand-over. */
class ShutdownRaceTest extends LoopbackNodeFixture {
    /** Milliseconds, longer than any test takes. */
    private static final int FAR_FUTURE = 600_000;

    /** Returns a client whose connection has served a request and is idle. */
    private Client idleClient() throws Exception {
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        return client;
    }

    private boolean accepts() {
        try (Client late = new Client(node.address())) {
            return late.socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private static void awaitCondition(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "the condition is not met in time");
            Thread.onSpinWait();
        }
    }

    private void assertDone(Future<Void> shutdown) throws InterruptedException {
        assertTrue(
                shutdown.await(Sockets.PATIENCE_S, TimeUnit.SECONDS),
                "the shutdown does not complete");
    }

    // Idle connections

    /** The client writes on the event loop, so that the bytes are unread at the close. */
    @Test
    void answersRequestUnreadWhenIdleConnectionIsToBeClosed() throws Exception {
        start(server(SERVE));
        Client client = idleClient();
        Future<Void> shutdown =
                group.next()
                        .submit(
                                () -> {
                                    client.write(submit());
                                    return node.shutDownGracefully(
                                            new ShutdownTimes(0, 0, FAR_FUTURE, FAR_FUTURE));
                                })
                        .sync()
                        .getNow();
        Message last = client.read();
        assertEquals(200, last.status());
        assertEquals("close", last.headers().get("connection"));
        assertNull(client.read());
        client.close();
        assertDone(shutdown);
    }

    /**
     * The client can't have seen the close yet, and learns only from the close that its request was
     * not accepted.
     */
    @Test
    void discardsRequestAfterCloseOfIdleConnectionWithoutReset() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = idleClient();
        Future<Void> shutdown = shutDown(1, 1, FAR_FUTURE);
        assertNull(client.read());
        client.write(submit());
        client.write(submit()); // fails if the first one caused a reset
        assertFalse(shutdown.isDone(), "waits until the client has seen the close");
        client.close();
        assertDone(shutdown);
        assertEquals(1, upstream.requests.size(), "requests after the close are not forwarded");
    }

    /**
     * A request that was read gets its response, also behind one that was in flight when the
     * shutdown started.
     */
    @Test
    void answersPipelinedRequestsReadBeforeShutdown() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        Server upstream =
                server(
                        (m, s) -> {
                            proceed.await();
                            SERVE.on(m, s);
                        });
        start(upstream);
        Client client = client().write(submit() + submit() + submit());
        Sockets.next(upstream.requests);
        Future<Void> shutdown = shutDown(0, 0, FAR_FUTURE);
        proceed.countDown();
        for (int i = 0; i < 3; i++) {
            Message response = client.read();
            assertEquals(200, response.status());
            assertEquals(i == 2 ? "close" : null, response.headers().get("connection"));
        }
        assertNull(client.read());
        client.close();
        assertDone(shutdown);
    }

    /** The response may still be in transit, and would be lost with the process. */
    @Test
    void waitsForClientToCloseAfterLastResponse() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        start(
                server(
                        (m, s) -> {
                            proceed.await();
                            SERVE.on(m, s);
                        }));
        Client idleClient = client();
        Client client = client().write(submit());
        Future<Void> shutdown = shutDown(1, 1, FAR_FUTURE);
        assertNull(idleClient.read());
        idleClient.close();
        proceed.countDown();
        Message last = client.read();
        assertEquals(200, last.status());
        assertEquals("close", last.headers().get("connection"));
        assertNull(client.read());
        assertFalse(shutdown.isDone());
        client.close();
        assertDone(shutdown);
    }

    @Test
    void doesNotWaitForIdleClientForever() throws Exception {
        start(server(SERVE));
        Client client = idleClient();
        Future<Void> shutdown =
                group.next()
                        .submit(() -> node.shutDownGracefully(new ShutdownTimes(1, 1, 50, 100)))
                        .sync()
                        .getNow();
        assertDone(shutdown);
        assertNull(client.read());
    }

    // Incomplete requests

    /** Part of a request has arrived when idle connections are closed; the rest is in time. */
    @ParameterizedTest
    @ValueSource(strings = {"POST /sub", "Content-Length: 3\r\n\r\n", "Content-Length: 3\r\n\r\nb"})
    void answersRequestCompletedDuringShutdown(String upTo) throws Exception {
        start(server(SERVE));
        Client idleClient = idleClient();
        Client client = idleClient();
        String request = submit();
        int cut = request.indexOf(upTo) + upTo.length();
        client.write(request.substring(0, cut));
        Future<Void> shutdown = shutDown(1, 50, FAR_FUTURE);
        assertNull(idleClient.read());
        Message response = client.write(request.substring(cut)).read();
        assertEquals(200, response.status());
        assertEquals("close", response.headers().get("connection"));
        assertNull(client.read());
        idleClient.close();
        client.close();
        assertDone(shutdown);
    }

    @Test
    void answers408ToIncompleteRequestWithLastResponses() throws Exception {
        start(server(SERVE));
        Client client = idleClient().write(submit().substring(0, 40));
        idleClient().close(); // served after those bytes arrived, so that they were read
        Future<Void> shutdown = shutDown(1, 50, 100);
        assertEquals(408, client.read().status());
        assertNull(client.read());
        client.close();
        assertDone(shutdown);
    }

    // Last responses

    /**
     * Closing many connections one by one takes a while, so that some requests arrive after the
     * last responses.
     */
    @Test
    void failsRequestsAfterLastResponsesWithoutForwarding() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            clients.add(idleClient());
        }
        int before = upstream.requests.size();
        Future<Void> shutdown =
                group.next()
                        .submit(
                                () -> {
                                    for (Client c : clients) {
                                        c.write(submit());
                                    }
                                    return node.shutDownGracefully(
                                            new ShutdownTimes(0, 0, 0, FAR_FUTURE));
                                })
                        .sync()
                        .getNow();
        for (Client c : clients) {
            assertFailed(c.read());
            assertNull(c.read());
            c.close();
        }
        assertDone(shutdown);
        assertEquals(before, upstream.requests.size());
    }

    private static String readToEnd(Client client) throws IOException {
        return new String(client.socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void streamsResponseUntilLastResponsesAreDue(boolean inTime) throws Exception {
        CountDownLatch mayEnd = new CountDownLatch(1);
        start(
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            Sockets.chunk(s, "x".repeat(RequestBody.MAX_BUFFERED_BYTES));
                            mayEnd.await();
                            s.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                        }));
        Client idleClient = client();
        Client client = client().write(submit());
        assertEquals('H', client.socket.getInputStream().read());
        Future<Void> shutdown = shutDown(1, 1, inTime ? FAR_FUTURE : 200);
        assertNull(idleClient.read());
        idleClient.close();
        if (inTime) {
            mayEnd.countDown();
            String head = readUntil(client, "0\r\n\r\n");
            assertTrue(head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked"));
        } else {
            assertFalse(
                    readToEnd(client).endsWith("0\r\n\r\n"),
                    "the client can tell that it is incomplete");
            mayEnd.countDown();
        }
        client.close();
        assertDone(shutdown);
    }

    private static String readUntil(Client client, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith(end)) {
            int b = client.socket.getInputStream().read();
            assertTrue(b >= 0, "the response ends too soon");
            text.append((char) b);
        }
        return text.toString();
    }

    // Readiness

    @Test
    void isNotReadyFromSignalOnWhileLoopIsBlocked() throws Exception {
        start(server(SERVE));
        Client kept = idleClient();
        CountDownLatch proceed = new CountDownLatch(1);
        group.next()
                .execute(
                        () -> {
                            try {
                                proceed.await();
                            } catch (InterruptedException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        running.stop();
        assertEquals("stopping", node.notReadyReason());
        proceed.countDown();
        assertEquals(503, kept.write("GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n").read().status());
    }

    // Changed deadlines

    private void reload(String from, String to) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Files.readString(file).replace(from, to));
        group.next().submit(() -> running.reload()).sync();
    }

    /**
     * SIGKILL follows the shorter deadlines, which leave 0.75 s; the longer ones would leave 3.45
     * s.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void failsRequestsInFlightEarlierAfterDeadlinesAreShortened(boolean reloadFirst)
            throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        start(server((m, s) -> received.countDown()));
        Client inFlight = client().write(submit());
        assertTrue(received.await(Sockets.PATIENCE_S, TimeUnit.SECONDS));
        Future<Void> stopped = null;
        if (!reloadFirst) {
            stopped = running.stop();
        }
        reload("\"give-up-s\":20", "\"give-up-s\":0.3");
        long startedAtNanos = System.nanoTime();
        if (reloadFirst) {
            stopped = running.stop();
        }
        assertFailed(inFlight.read());
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
        assertTrue(took < 3_000, "after " + took + " ms");
        inFlight.close();
        assertDone(stopped);
    }

    // Hand-over

    private InetSocketAddress listenAddress() {
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(listen.split(":")[1]));
    }

    /** Until the successor listens, clients can connect to no other process. */
    @Test
    void ignoresSuccessorThatDoesNotListenYet() throws Exception {
        listen = text(freeAddress());
        start(server(SERVE));
        Client kept = idleClient();
        SiblingProcess successor = FileLockSibling.join(folder, listenAddress());
        long startedAtNanos = System.nanoTime();
        running.stop();
        awaitCondition(() -> !accepts());
        assertTrue(
                System.nanoTime() - startedAtNanos
                        >= TimeUnit.MILLISECONDS.toNanos(ShutdownTimings.ACCEPT_MS));
        assertNull(
                kept.write(submit()).read().headers().get("connection"),
                "the client can connect to no other process");
        successor.close();
    }

    /** The clients of a successor that listened and died connect to this process again. */
    @Test
    void acceptsClientsAgainWhenSuccessorDies() throws Exception {
        start(server(SERVE));
        Client kept = idleClient();
        group.next().submit(() -> node.setSuccessorListening(true)).sync();
        Future<Void> shutdown = shutDown(FAR_FUTURE, FAR_FUTURE, FAR_FUTURE);
        awaitCondition(() -> !accepts());
        assertFalse(shutdown.isDone());
        group.next().submit(() -> node.setSuccessorListening(false)).sync();
        awaitCondition(this::accepts);
        for (Client c : List.of(kept, client())) {
            Message response = c.write(submit()).read();
            assertEquals(200, response.status());
            assertNull(response.headers().get("connection"));
        }
    }

    /** The node checks for its successor periodically. */
    @Test
    void detectsDeathOfSuccessor() throws Exception {
        listen = text(freeAddress());
        start(server(SERVE));
        List<Client> kept = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            kept.add(idleClient());
        }
        SiblingProcess successor = FileLockSibling.join(folder, listenAddress());
        successor.setListening(true);
        running.stop();
        awaitCondition(() -> !accepts());
        assertNotNull(kept.remove(0).write(submit()).read().headers().get("connection"));
        successor.close();
        boolean stays = false;
        while (!stays) {
            stays = kept.remove(0).write(submit()).read().headers().get("connection") == null;
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** The successor waits for the list only while the other process serves clients. */
    @Test
    void successorListensWithoutListOnceTheOtherStops() throws Exception {
        listen = text(freeAddress());
        start(list(0, true), server(HANG));
        Node successor =
                Node.start(
                        folder.resolve("config.json"),
                        group.next(),
                        figures,
                        folder,
                        StateStorage.NONE);
        Future<Void> listening = successor.startListening();
        group.next().submit(() -> {}).sync();
        assertFalse(listening.isDone());
        running.stop();
        assertTrue(listening.await(Sockets.PATIENCE_S, TimeUnit.SECONDS));
        assertTrue(listening.isSuccess());
        assertDone(successor.stop());
        successor.close();
    }

    @Test
    void siblingReportsWhetherTheOtherListens() throws Exception {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 8080);
        SiblingProcess one = FileLockSibling.join(folder, address);
        SiblingProcess other = FileLockSibling.join(folder, address);
        assertFalse(one.isListening());
        other.setListening(true);
        assertTrue(one.isListening());
        assertFalse(other.isListening());
        other.setListening(false);
        assertFalse(one.isListening());
        assertTrue(one.isRunning());
        other.setListening(true);
        other.close();
        assertFalse(one.isListening());
        one.close();
    }

    // Documentation

    /** Returns the cells of a table row after its name. */
    private static List<String> row(List<String> page, String name) {
        String line =
                page.stream()
                        .filter(l -> l.startsWith("| " + name + " |"))
                        .findFirst()
                        .orElseThrow();
        return Arrays.stream(line.split("\\|")).skip(2).map(String::trim).toList();
    }

    @Test
    void documentationMatchesConstants() throws Exception {
        List<String> page = Files.readAllLines(Path.of("docs", "shutdown.md"));
        assertEquals("0", row(page, "told").get(0));
        assertEquals(Long.toString(ShutdownTimings.ACCEPT_MS), row(page, "accept").get(0));
        assertEquals(Long.toString(ShutdownTimings.LAST_REQUEST_MS), row(page, "keep").get(1));
        assertEquals(
                Long.toString(ShutdownTimings.LAST_ANSWER_MS), row(page, "last answer").get(1));
        assertEquals(Long.toString(ShutdownTimings.CLOSE_MS), row(page, "close").get(1));
        String text = String.join(" ", page);
        assertTrue(text.contains("*longest* + " + ShutdownTimings.KILL_MS + " ms"));
        assertTrue(
                text.contains(
                        String.format(
                                Locale.ROOT,
                                "%,d ms at most",
                                ShutdownTimings.LONGEST_DEADLINE_MS)));
    }

    /** Holds for every longest deadline. */
    @Test
    void allStepsAreInOrderAndEndBeforeSigkill() {
        long[] longest = {1, 10, 50, 100, 300, 500, 1_000, 2_999, 3_000, 3_001, 60_000};
        for (long ms : longest) {
            ShutdownTimes t = ShutdownTimings.of(ms);
            long kill = Math.min(ms, 3_000) + 700;
            assertTrue(
                    400 < Math.min(t.acceptMillis(), t.lastResponseMillis()),
                    "new connections arrive for 400 ms: " + t);
            assertTrue(t.acceptMillis() <= t.keepMillis(), t.toString());
            assertTrue(ms < 50 || t.keepMillis() <= t.lastResponseMillis(), t.toString());
            assertTrue(
                    t.lastResponseMillis() < t.closeMillis() && t.closeMillis() < kill,
                    t.toString());
            assertTrue(ms < 500 || kill - t.keepMillis() <= 700, t.toString());
        }
    }
}
