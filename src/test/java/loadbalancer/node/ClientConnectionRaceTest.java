package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Bytes of a client that arrive together with a close by the client or by the balancer. Tests block
 * the event loop where two events must have arrived before it reads either.
 */
class ClientConnectionRaceTest extends LoopbackNodeFixture {
    /** Time limit in seconds, well below the time-outs that would end the awaited state anyway. */
    private static final long TIME_LIMIT_S = 5;

    private final CountDownLatch mayListUpstream = new CountDownLatch(1);

    /** Ways in which a client closes its connection. */
    enum ClientClose {
        CLOSE {
            @Override
            void performOn(Socket socket) throws IOException {
                socket.close();
            }
        },
        RESET {
            @Override
            void performOn(Socket socket) throws IOException {
                Sockets.reset(socket);
            }
        },
        HALF_CLOSE {
            @Override
            void performOn(Socket socket) throws IOException {
                socket.shutdownOutput();
            }
        };

        abstract void performOn(Socket socket) throws IOException;
    }

    /** Runs an action while the event loop is blocked, which then continues with {@code onLoop}. */
    private void whileLoopIsBlocked(Callable<?> action, Runnable onLoop) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch proceed = new CountDownLatch(1);
        var done =
                group.next()
                        .submit(
                                () -> {
                                    blocked.countDown();
                                    proceed.await();
                                    onLoop.run();
                                    return null;
                                });
        blocked.await();
        try {
            action.call();
        } finally {
            proceed.countDown();
        }
        done.get(Sockets.PATIENCE_S, TimeUnit.SECONDS);
    }

    private void whileLoopIsBlocked(Callable<?> action) throws Exception {
        whileLoopIsBlocked(action, () -> {});
    }

    /** Waits until the event loop has run its queued tasks and the tasks that those queued. */
    private void awaitQueuedTasks() throws Exception {
        for (int i = 0; i < 3; i++) {
            group.next().submit(() -> {}).get(Sockets.PATIENCE_S, TimeUnit.SECONDS);
        }
    }

    private void awaitInProgress(int count) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIME_LIMIT_S);
        while (figures.inProgress() != count) {
            assertTrue(System.nanoTime() < end, "in progress: " + figures.inProgress());
            awaitQueuedTasks();
        }
    }

    /** Waits for the first forwarded bytes: an attempt that has not begun closes no connection. */
    private void awaitForwarding(Server upstream) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIME_LIMIT_S);
        while (upstream.receivedBytes.get() == 0) {
            assertTrue(System.nanoTime() < end, "nothing is forwarded");
            awaitQueuedTasks();
        }
    }

    private void assertForwarded(Server upstream, String... ids) {
        assertEquals(
                List.of(ids),
                upstream.requests.stream().map(m -> m.headers().get("x-correlation-id")).toList());
    }

    @ParameterizedTest
    @EnumSource(ClientClose.class)
    void doesNotForwardRequestClosedInAcceptQueue(ClientClose clientClose) throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        String first = submit();
        whileLoopIsBlocked(
                () -> {
                    Client client = client().write(first);
                    clientClose.performOn(client.socket);
                    return null;
                });
        assertEquals(200, client().write(submit()).read().status());
        assertForwarded(upstream, "id-1");
    }

    @ParameterizedTest
    @EnumSource(ClientClose.class)
    void doesNotForwardRequestReadTogetherWithClose(ClientClose clientClose) throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        whileLoopIsBlocked(
                () -> {
                    client.write(submit());
                    clientClose.performOn(client.socket);
                    return null;
                });
        assertEquals(200, client().write(submit()).read().status());
        assertForwarded(upstream, "id-0", "id-2");
    }

    @Test
    void doesNotForwardPipelinedRequestOfDisconnectedClient() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        Server upstream =
                server(
                        (m, s) -> {
                            mayRespond.await();
                            SERVE.on(m, s);
                        });
        start(upstream);
        Client client = client().write(submit() + submit());
        Sockets.next(upstream.requests);
        whileLoopIsBlocked(
                () -> {
                    mayRespond.countDown();
                    client.close();
                    return null;
                });
        assertEquals(200, client().write(submit()).read().status());
        assertForwarded(upstream, "id-2");
    }

    /** The time of a request runs while it waits behind another one. */
    @Test
    void rejectsPipelinedRequestWhoseTimeIsOver() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        Server upstream =
                server(
                        (m, s) -> {
                            mayRespond.await();
                            SERVE.on(m, s);
                        });
        start(upstream);
        Client client = client().write(submit() + request("POST", "submit", "50", ""));
        Sockets.next(upstream.requests);
        awaitQueuedTasks();
        blockUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(60));
        mayRespond.countDown();
        assertEquals(200, client.read().status());
        assertEquals(503, client.read().status());
        assertEquals(0, upstream.requests.size());
    }

    /**
     * With many requests queued behind the one in flight, reading stops, which hid the end of the
     * connection.
     */
    @Test
    void detectsCloseBehindManyPipelinedRequests() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        Client client = client().write(request("POST", "submit", "20000", ""));
        Sockets.next(upstream.requests);
        for (int i = 0; i < 8; i++) {
            client.write(submit());
        }
        awaitQueuedTasks();
        client.write("POST /sub");
        client.close();
        assertNotNull(upstream.ended.poll(TIME_LIMIT_S, TimeUnit.SECONDS), "the attempt continues");
        awaitInProgress(0);
    }

    /** A body that no upstream receives is blocked, and reading stops with it. */
    @Test
    void detectsCloseWhileBodyIsBlocked() throws Exception {
        start(list(41, true), server(HANG));
        String head =
                submit().replace("Content-Length: 3", "Content-Length: 200000").replace("bid", "");
        Client client = client().write(head + "b".repeat(70_000));
        awaitInProgress(1);
        client.write("b".repeat(5_000));
        client.close();
        awaitInProgress(0);
    }

    /** Bytes that were read ahead are forwarded once there is room again. */
    @Test
    void forwardsBlockedBodyCompletely() throws Exception {
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        Server upstream =
                server(
                        (m, s) -> {
                            bodies.add(m.body());
                            SERVE.on(m, s);
                        });
        Server discovery =
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            if (mayListUpstream.await(Sockets.PATIENCE_S, TimeUnit.SECONDS)) {
                                Sockets.chunk(
                                        s, list(42, true, entry("u", upstream.addr(), "Ready")));
                            }
                        });
        start(list(41, true), discovery);
        String head =
                submit().replace("Content-Length: 3", "Content-Length: 400000").replace("bid", "");
        Client client = client().write(head + "b".repeat(75_000));
        awaitInProgress(1);
        client.write("c".repeat(25_000));
        mayListUpstream.countDown();
        client.write("d".repeat(300_000));
        assertEquals(200, client.read().status());
        assertEquals(
                "b".repeat(75_000) + "c".repeat(25_000) + "d".repeat(300_000),
                Sockets.next(bodies));
    }

    /**
     * The last bytes of a body and the close of its client arrive in one read. The upstream must
     * not get the complete body.
     */
    @Test
    void doesNotCompleteBodyReadTogetherWithClose() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        String head =
                submit().replace("Content-Length: 3", "Content-Length: 100000").replace("bid", "");
        Client client = client().write(head + "b".repeat(99_000));
        awaitInProgress(1);
        awaitForwarding(upstream);
        awaitQueuedTasks();
        whileLoopIsBlocked(
                () -> {
                    client.write("b".repeat(1_000));
                    client.close();
                    return null;
                });
        assertNotNull(
                upstream.ended.poll(TIME_LIMIT_S, TimeUnit.SECONDS),
                () ->
                        "requests forwarded: "
                                + upstream.requests.size()
                                + ", in progress: "
                                + figures.inProgress());
        assertEquals(0, upstream.requests.size());
    }

    /**
     * Bytes that arrived after the last response turned the balancer's close into a reset, which
     * discarded the response.
     */
    @Test
    void deliversLastResponseDespiteFurtherRequests() throws Exception {
        String body = "a".repeat(100_000);
        Server upstream = server((m, s) -> Sockets.answer(s, "200 OK", "", body));
        start(upstream);
        try (Socket client = new Socket()) {
            client.setReceiveBufferSize(
                    4 * 1024); // the rest of the response stays in the balancer's send buffer
            client.connect(node.address());
            client.setSoTimeout(Sockets.PATIENCE_S * 1_000);
            write(client, request("POST", "submit", "9000", "Connection: close\r\n"));
            Sockets.next(upstream.requests);
            awaitInProgress(0);
            awaitQueuedTasks();
            write(client, submit());
            awaitQueuedTasks();
            InputStream in = new BufferedInputStream(client.getInputStream());
            Message response = Sockets.read(in);
            assertEquals("close", response.headers().get("connection"));
            assertEquals(body, response.body());
            assertNull(Sockets.read(in), "a request after the last response is not answered");
            assertEquals(0, upstream.requests.size(), "and is not forwarded");
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The client keeps sending after its error response. */
    @Test
    void deliversErrorWhileClientKeepsSending() throws Exception {
        start(server(SERVE));
        Client client = client();
        whileLoopIsBlocked(() -> client.write("nonsense\r\n\r\n" + "x".repeat(100_000)));
        assertEquals(400, client.read().status());
        assertNull(client.read());
    }

    /** An error can't be written into the middle of another response. */
    @Test
    void completesResponseBeforeErrorForInvalidBytes() throws Exception {
        CountDownLatch more = new CountDownLatch(1);
        Server upstream =
                server(
                        (m, s) -> {
                            write(
                                    s,
                                    "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"
                                            + "a".repeat(100_000));
                            more.await();
                            write(s, "b".repeat(100_000));
                        });
        start(upstream);
        try (Socket client = new Socket()) {
            client.connect(node.address());
            client.setSoTimeout(Sockets.PATIENCE_S * 1_000);
            write(client, submit());
            InputStream in = new BufferedInputStream(client.getInputStream());
            in.mark(1 << 20);
            in.readNBytes(100_000); // nearly all of the first half has been written
            awaitQueuedTasks();
            write(client, "nonsense\r\n\r\n");
            awaitQueuedTasks();
            more.countDown();
            in.reset();
            assertEquals("a".repeat(100_000) + "b".repeat(100_000), Sockets.read(in).body());
            assertNull(Sockets.read(in));
        }
    }

    /** Unread bytes are read before an idle connection is closed to make room. */
    @Test
    void servesRequestUnreadWhenIdleConnectionIsToBeClosed() throws Exception {
        start(server(SERVE));
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        awaitQueuedTasks();
        long idleSince = System.nanoTime();
        whileLoopIsBlocked(
                () -> client.write(submit()),
                () -> {
                    blockUntil(idleSince + TimeUnit.MILLISECONDS.toNanos(2_100));
                    node.setMaxConnections(1);
                });
        assertEquals(200, client.read().status());
    }

    /** A connection with an incomplete request is not closed without an error response. */
    @Test
    void answers408ToIncompleteRequestClosedAtTheLimit() throws Exception {
        start(server(SERVE));
        Client client = client().write("POST /submit?key=k1 HTTP/1.1\r\nHost: app");
        awaitQueuedTasks();
        long quietSince = System.nanoTime();
        whileLoopIsBlocked(
                () -> null,
                () -> {
                    blockUntil(quietSince + TimeUnit.MILLISECONDS.toNanos(1_200));
                    node.setMaxConnections(1);
                });
        assertEquals(408, client.read().status());
        assertNull(client.read());
    }

    /** Blocks the calling thread until this time of the monotonic clock. */
    private static void blockUntil(long nanoTime) {
        while (System.nanoTime() < nanoTime) {
            LockSupport.parkNanos(nanoTime - System.nanoTime());
        }
    }

    /** Connections that linger after an error are the first to be closed at the limit. */
    @Test
    void closesLingeringConnectionsAtTheLimit() throws Exception {
        sockets = 64 + 16;
        start(server(SERVE));
        for (int i = 0; i < 24; i++) {
            assertEquals(400, client().write("nonsense\r\n\r\n").read().status()); // and stays open
        }
        assertEquals(200, client().write(submit()).read().status());
    }
}
