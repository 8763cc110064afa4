package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Script;
import loadbalancer.faults.process.peer.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A balancer between real sockets. Each test covers one way in which a request could be lost,
 * executed twice or answered wrongly.
 */
class NodeTest extends LoopbackNodeFixture {
    // Serving

    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Message response =
                client().write(
                                request(
                                        "POST",
                                        "revise",
                                        "9000",
                                        "Idempotency-Key: 5c0f\r\n"
                                                + "X-Facts: a=1\r\n"
                                                + "X-Weight-Hint: 900\r\n"))
                        .read();
        assertEquals(200, response.status());
        assertEquals("done", response.body());
        Message forwarded = Sockets.next(upstream.requests);
        assertEquals("POST /revise?key=k1 HTTP/1.1", forwarded.start());
        assertEquals("bid", forwarded.body());
        assertEquals("id-0", forwarded.headers().get("x-correlation-id"));
        assertEquals("5c0f", forwarded.headers().get("idempotency-key"));
        assertTrue(Integer.parseInt(forwarded.headers().get("x-time-left-ms")) <= 9000);
    }

    @Test
    void keepsConnectionsOnBothSides() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        assertEquals(200, client.write(submit()).read().status());
        assertEquals(1, upstream.accepted.size());
    }

    @Test
    void keepsUpstreamConnectionWhenClientCloses() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        for (int i = 0; i < 2; i++) {
            Client client =
                    client().write(request("POST", "submit", "9000", "Connection: close\r\n"));
            assertEquals(200, client.read().status());
            assertNull(client.read());
        }
        assertNull(Sockets.next(upstream.requests).headers().get("connection"));
        assertEquals(1, upstream.accepted.size());
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        Server upstream =
                server(
                        (m, s) ->
                                Sockets.answer(
                                        s, "200 OK", "", m.headers().get("x-correlation-id")));
        start(upstream);
        Client client = client().write(submit() + submit() + submit());
        for (int i = 0; i < 3; i++) {
            assertEquals("id-" + i, client.read().body());
        }
    }

    /**
     * A request that is written to a connection while the upstream closes it ends in a reset, and
     * may have been executed.
     */
    @Test
    void closesIdleConnectionBeforeTheUpstreamDoes() throws Exception {
        idle = "0.5";
        Server upstream = server(SERVE);
        start(upstream);
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(0, Sockets.next(upstream.ended));
    }

    /**
     * Guards against reading load reports under names other than those of the settings, which would
     * ignore all of them without an error.
     */
    @Test
    void choosesUpstreamByLoadReportsOfProbes() throws Exception {
        loadReports = "pull";
        Server idleServer = server(reporting("active=0,cpu=0.0,new=1"));
        Server busyServer = server(reporting("active=1,cpu=1.0"));
        start(idleServer, busyServer);
        Client client = client();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        for (int inARow = 0; inARow < 40; ) {
            assertTrue(System.nanoTime() < end, "the busy upstream is still chosen");
            String body = client.write(submit()).read().body();
            inARow = body.startsWith("active=0") ? inARow + 1 : 0;
        }
    }

    private static Script reporting(String load) {
        return (m, s) -> Sockets.answer(s, "200 OK", "", load);
    }

    @Test
    void ignoresInvalidLoadReport() throws Exception {
        loadReports = "pull";
        Server upstream = server(reporting("cpu=much"));
        start(upstream);
        for (int i = 0; i < 3; i++) {
            assertEquals("GET /load HTTP/1.1", Sockets.next(upstream.requests).start());
        }
        assertEquals(200, client().write(submit()).read().status());
    }

    // No duplicate execution

    /**
     * Once its last byte is written, an unsafe request may have been executed, whatever happens to
     * the connection.
     */
    @Test
    void doesNotRetryUnsafeRequestAfterReset() throws Exception {
        Script reset = (m, s) -> Sockets.reset(s);
        Server one = server(reset);
        Server two = server(reset);
        start(one, two);
        assertFailed(client().write(submit()).read());
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    @ParameterizedTest
    @CsvSource({
        "500 Internal Server Error,''",
        "503 Service Unavailable,''",
        "504 Gateway Timeout,''",
        "503 Service Unavailable,X-Unprocessed: 0",
        "418 Teapot,X-Unprocessed: 1"
    })
    void doesNotRetryUnsafeRequestWithoutProofOfNoExecution(String status, String header)
            throws Exception {
        Script error =
                (m, s) -> Sockets.answer(s, status, header.isEmpty() ? "" : header + "\r\n", "");
        Server one = server(error);
        Server two = server(error);
        start(one, two);
        assertFailed(client().write(submit()).read());
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    @Test
    void retriesUnprocessedRequest() throws Exception {
        AtomicInteger count = new AtomicInteger();
        Script once =
                (m, s) -> {
                    if (count.getAndIncrement() == 0) {
                        Sockets.answer(s, "503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
                    } else {
                        SERVE.on(m, s);
                    }
                };
        start(server(once), server(once));
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(2, count.get());
    }

    @Test
    void retriesAtAnotherUpstreamAfterRefusedConnection() throws Exception {
        Server dead = server(SERVE);
        dead.close();
        Server alive = server(SERVE);
        start(dead, alive);
        Client client = client();
        for (int i = 0; i < 6; i++) {
            assertEquals(200, client.write(submit()).read().status());
        }
        assertEquals(6, alive.requests.size());
    }

    /**
     * If an interim response were taken for the final one, the final one would go to the next
     * request on the connection.
     */
    @Test
    void skipsInterimResponse() throws Exception {
        Server upstream =
                server(
                        (m, s) -> {
                            s.getOutputStream()
                                    .write("HTTP/1.1 102 Processing\r\n\r\n".getBytes("UTF-8"));
                            Sockets.answer(s, "200 OK", "", m.headers().get("x-correlation-id"));
                        });
        start(upstream);
        Client client = client();
        assertEquals("id-0", client.write(submit()).read().body());
        assertEquals("id-1", client.write(submit()).read().body());
        assertEquals(1, upstream.accepted.size());
    }

    /** The client would take an incomplete response for a complete one. */
    @ParameterizedTest
    @CsvSource({
        "Content-Length: 10,false",
        "Transfer-Encoding: chunked,false",
        "X-No-Length: 1,false",
        "Content-Length: 10,true",
        "Transfer-Encoding: chunked,true",
        "X-No-Length: 1,true",
        "Connection: close,true"
    })
    void doesNotForwardIncompleteResponse(String framing, boolean reset) throws Exception {
        Server upstream =
                server(
                        (m, s) -> {
                            String incomplete = "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n4\r\nha";
                            s.getOutputStream().write(incomplete.getBytes("UTF-8"));
                            if (reset) {
                                Sockets.reset(s);
                            } else {
                                s.close();
                            }
                        });
        start(upstream);
        assertFailed(client().write(submit()).read());
        assertEquals(1, upstream.requests.size());
    }

    // No request lost

    @Test
    void failsRequestToSilentUpstreamAtDeadline() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        assertFailed(client().write(request("POST", "submit", "300", "")).read());
        assertEquals(0, Sockets.next(upstream.ended), "the attempt is abandoned");
    }

    @Test
    void rejectsRequestWithoutUpstreamByDeadline() throws Exception {
        start(new Server[0]);
        assertEquals(503, client().write(request("POST", "submit", "300", "")).read().status());
    }

    @Test
    void abandonsAttemptWhenClientDisconnects() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        Client client = client().write(submit());
        Sockets.next(upstream.requests);
        client.close();
        assertEquals(0, Sockets.next(upstream.ended));
    }

    @ParameterizedTest
    @CsvSource({
        "X-Service-Class: submit,X-Service-Class: none",
        "X-Account: acme,X-Account: nobody",
        "X-Time-Left-Ms: 9000,X-Time-Left-Ms: soon",
        "X-Time-Left-Ms: 9000,X-Time-Left-Ms: -1",
        "X-Account: acme,X-Account: acme|X-Weight-Hint: 1e9",
        "POST,GET",
        "X-Correlation-Id,X-Other",
        "submit,revise",
        "HTTP/1.1,HTTP/x",
        "/submit?,/sub%zz?",
        "key=k1,key=%zz"
    })
    void answers400ToBadRequest(String good, String bad) throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        assertEquals(
                400,
                client().write(submit().replace(good, bad.replace("|", "\r\n"))).read().status());
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(1, upstream.requests.size());
    }

    /**
     * After a header that can't be parsed, the decoder skips all bytes: requests that follow on the
     * same connection would be lost.
     */
    @ParameterizedTest
    @CsvSource({
        "X-Account: acme,X-Acc\\u0001ount: acme",
        "Content-Length: 3||bid,Transfer-Encoding: chunked||zz|"
    })
    void closesConnectionAfterMalformedRequest(String good, String bad) throws Exception {
        start(server(SERVE));
        Client client =
                client().write(
                                submit().replace(
                                                good.replace("|", "\r\n"),
                                                bad.replace("\\u0001", "\u0001")
                                                        .replace("|", "\r\n")));
        assertEquals(400, client.read().status());
        assertNull(client.read());
    }

    @Test
    void answers413ToBodyBeyondTheLimit() throws Exception {
        start(server(SERVE));
        assertEquals(
                413,
                client().write(submit().replace("Length: 3", "Length: 33554433")).read().status());
    }

    // Discovery

    private static boolean isWatch(Message m) {
        return m.start().startsWith("GET /v1/servers?follow=1&since=");
    }

    @Test
    void sendsNothingToDrainingOrRemovedUpstreams() throws Exception {
        Server old = server(SERVE);
        Server other = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            Sockets.chunk(s, "");
                            Sockets.chunk(s, "{broken");
                            Sockets.chunk(
                                    s,
                                    list(
                                            42,
                                            false,
                                            entry("s-" + old.addr(), old.addr(), "Terminating"),
                                            entry("new", other.addr(), "Ready")));
                        });
        start(ready(old), discovery);
        assertTrue(Sockets.next(discovery.requests).start().contains("since=41"));
        awaitServedBy(other);
        int requestsBefore = old.requests.size();
        for (int i = 0; i < 5; i++) {
            assertEquals(200, client().write(submit()).read().status());
        }
        assertEquals(requestsBefore, old.requests.size());
        // A complete list without the old upstream, in which the other id has a new address.
        Server moved = server(SERVE);
        Sockets.chunk(
                discovery.accepted.get(0), list(43, true, entry("new", moved.addr(), "Ready")));
        awaitServedBy(moved);
        requestsBefore = other.requests.size();
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(requestsBefore, other.requests.size());
    }

    /**
     * A silent watch may have been cut off, and its changes would be missed beyond the grace
     * period.
     */
    @Test
    void reopensSilentOrEndedWatchFromKnownVersion() throws Exception {
        AtomicInteger count = new AtomicInteger();
        Server upstream = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            assertTrue(isWatch(m));
                            Sockets.beginChunks(s);
                            int n = count.getAndIncrement();
                            if (n == 0) {
                                Sockets.chunk(s, list(50, false));
                                s.close();
                            } else if (n == 1) {
                                Sockets.chunk(s, list(51, false));
                                s.getOutputStream().write("0\r\n\r\n".getBytes("UTF-8"));
                            } else if (n == 2) {
                                Sockets.chunk(s, list(52, false)); // then silence
                            }
                        });
        start(ready(upstream), discovery);
        List<String> calls = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            calls.add(Sockets.next(discovery.requests).start());
        }
        assertEquals(
                List.of("41", "50", "51", "52"),
                calls.stream()
                        .map(c -> c.replaceAll(".*since=(\\d+) .*", "$1"))
                        .collect(Collectors.toList()));
    }

    /** Connections to the previous process are dead, even if their close was never received. */
    @Test
    void opensNewConnectionsToRestartedUpstream() throws Exception {
        Server upstream = server(SERVE);
        CountDownLatch restart = new CountDownLatch(1);
        Server discovery =
                server(
                        (m, s) -> {
                            restart.await();
                            Sockets.beginChunks(s);
                            Sockets.chunk(
                                    s,
                                    list(
                                            42,
                                            false,
                                            entry("s-" + upstream.addr(), upstream.addr(), "Ready")
                                                    .replace(
                                                            "\"started_ms\":0",
                                                            "\"started_ms\":1764000000000")));
                        });
        start(ready(upstream), discovery);
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        restart.countDown();
        assertEquals(0, Sockets.next(upstream.ended));
        assertEquals(200, client.write(submit()).read().status());
        assertEquals(2, upstream.accepted.size());
    }

    @Test
    void isHealthyOnlyOnceListIsKnown() throws Exception {
        CountDownLatch mayList = new CountDownLatch(1);
        Server upstream = server(SERVE);
        Server discovery =
                server(
                        (m, s) -> {
                            mayList.await();
                            Sockets.beginChunks(s);
                            Sockets.chunk(s, ready(upstream));
                        });
        start(list(0, true), discovery);
        String health = "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n";
        assertEquals(503, client().write(health).read().status());
        mayList.countDown();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        while (client().write(health).read().status() != 200) {
            assertTrue(System.nanoTime() < end, "never ready");
        }
        assertEquals(200, client().write(submit()).read().status());
    }

    // Startup and shutdown

    @Test
    void answersAcceptedRequestsAndAcceptsForAWhileDuringShutdown() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        start(
                server(
                        (m, s) -> {
                            mayRespond.await();
                            SERVE.on(m, s);
                        }));
        Client unused = client();
        Client inFlight = client().write(submit());
        Future<Void> drained = shutDown(1_000, 1_000, 60_000);
        Client late = client().write(submit());
        assertNull(unused.read(), "closed between requests");
        assertFalse(drained.isDone());
        mayRespond.countDown();
        for (Client c : List.of(inFlight, late)) {
            Message response = c.read();
            assertEquals(200, response.status());
            assertEquals("close", response.headers().get("connection"));
            assertNull(c.read());
        }
        assertTrue(drained.await(Sockets.PATIENCE_S, TimeUnit.SECONDS));
    }

    /**
     * A shutdown leaves less time than some clients have; a request without a response at the end
     * of the process would be lost.
     */
    @Test
    void failsRequestsInFlightAtEndOfShutdown() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        Script hang = (m, s) -> received.countDown();
        Server one = server(hang);
        Server two = server(hang);
        start(one, two);
        Client client = client().write(request("GET", "look", "600000", ""));
        assertTrue(received.await(Sockets.PATIENCE_S, TimeUnit.SECONDS));
        Future<Void> drained = shutDown(1, 1, 100);
        assertTrue(client.read().status() >= 500);
        assertTrue(drained.await(Sockets.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    @Test
    void reportsInvalidCommandLineOrConfigurationInOneLine() throws Exception {
        assertEquals(2, run().exit());
        assertEquals(2, run("listen").exit());
        assertEquals(1, run("serve").exit());
        Path file = folder.resolve("config.json");
        assertOneLine(run(file, "serve"));
        Files.writeString(file, "{\"listen\":");
        assertOneLine(run(file, "serve"));
        Files.writeString(file, "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"no.such.host:1\"}");
        assertOneLine(run(file, "serve"));
        Server other = server(HANG);
        start(other);
        Files.writeString(file, Files.readString(file).replace("127.0.0.1:0", other.addr()));
        assertOneLine(run(file, "serve"));
    }

    private record Result(int exit, String err) {}

    private static Result run(String... args) {
        return run(null, args);
    }

    private static Result run(Path config, String... args) {
        var err = new java.io.ByteArrayOutputStream();
        int exit =
                Main.run(
                        args,
                        config == null ? null : config.toString(),
                        new java.io.PrintStream(err),
                        null,
                        (signal, body) -> true,
                        code -> {});
        return new Result(exit, err.toString());
    }

    private static void assertOneLine(Result result) {
        assertEquals(1, result.exit());
        assertEquals(1, result.err().lines().count(), result.err());
    }
}
