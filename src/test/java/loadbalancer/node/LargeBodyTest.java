package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Script;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.proxy.RequestBody;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies larger than the buffer in both directions, in all framings of HTTP/1.1. */
class LargeBodyTest extends LoopbackNodeFixture {
    private static final int LARGE = 5 << 20;
    private final BlockingQueue<Integer> signals = new LinkedBlockingQueue<>();

    private static String text(int length) {
        StringBuilder text = new StringBuilder(length);
        for (int i = 0; text.length() < length; i++) {
            text.append(i).append(' ');
        }
        text.setLength(length);
        return text.toString();
    }

    private String upload(String framing, String body) {
        return request("POST", "submit", "9000", "")
                .replace("Content-Length: 3\r\n\r\nbid", framing + "\r\n\r\n" + body);
    }

    private void awaitMetric(String line) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        while (!figures.render().contains("app." + line + "\n")) {
            assertTrue(System.nanoTime() < end, line + " is missing in\n" + figures.render());
            Thread.onSpinWait();
        }
    }

    /** Reads until the end of the connection. */
    private static String readToEnd(Client client) throws Exception {
        InputStream in = client.socket.getInputStream();
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }

    // Responses

    @Test
    void forwardsLargeResponseUnchangedAndKeepsConnection() throws Exception {
        String large = text(LARGE);
        start(server((m, s) -> Sockets.answer(s, "200 OK", "", large)));
        Client client = client();
        for (int i = 0; i < 2; i++) {
            Message response = client.write(submit()).read();
            assertEquals(200, response.status());
            assertTrue(large.equals(response.body()), "the body is unchanged");
        }
        awaitMetric("handled.submit.passed:2|c");
    }

    /** The client gets the first bytes before the last ones exist. */
    @Test
    void streamsLargeResponseBeforeItIsComplete() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        start(
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            Sockets.chunk(s, text(RequestBody.MAX_BUFFERED_BYTES));
                            begun.await();
                            s.getOutputStream()
                                    .write(
                                            "3\r\nend\r\n0\r\nX-Trailer: 1\r\n\r\n"
                                                    .getBytes("UTF-8"));
                        }));
        Client client = client().write(request("POST", "submit", "9000", "Connection: close\r\n"));
        assertEquals('H', client.socket.getInputStream().read());
        begun.countDown();
        String all = readToEnd(client);
        assertTrue(all.toLowerCase().contains("transfer-encoding: chunked"), all.substring(0, 200));
        assertTrue(
                all.endsWith("3\r\nend\r\n0\r\n\r\n"), "the client can tell that it is complete");
    }

    /** The deadline applies to the start of a response. */
    @Test
    void doesNotCutStreamedResponseShortAtDeadline() throws Exception {
        CountDownLatch later = new CountDownLatch(1);
        start(
                server(
                        (m, s) -> {
                            if (m.start().contains("submit")) {
                                Sockets.beginChunks(s);
                                Sockets.chunk(s, text(RequestBody.MAX_BUFFERED_BYTES));
                                later.await();
                                s.getOutputStream().write("0\r\n\r\n".getBytes("UTF-8"));
                            }
                        }));
        Client client = client().write(request("POST", "submit", "600", "Connection: close\r\n"));
        assertEquals('H', client.socket.getInputStream().read());
        // Sent later with the same time left: the first deadline has passed when this one fails.
        assertFailed(
                client().write(request("POST", "revise", "600", "Idempotency-Key: 1\r\n")).read());
        later.countDown();
        assertTrue(readToEnd(client).endsWith("0\r\n\r\n"));
        awaitMetric("handled.submit.passed:1|c");
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 200000", "Transfer-Encoding: chunked"})
    void showsClientThatStreamedResponseIsIncomplete(String framing) throws Exception {
        Script breakOff =
                (m, s) -> {
                    s.getOutputStream()
                            .write(
                                    ("HTTP/1.1 200 OK\r\n"
                                                    + framing
                                                    + "\r\n\r\n19000\r\n"
                                                    + text(100_000))
                                            .getBytes("UTF-8"));
                    Sockets.next(signals);
                    s.close();
                };
        Server one = server(breakOff);
        Server two = server(breakOff);
        start(one, two);
        Client client = client().write(request("POST", "submit", "9000", ""));
        assertEquals('H', client.socket.getInputStream().read());
        signals.add(1);
        String all = readToEnd(client);
        assertFalse(all.endsWith("0\r\n\r\n"));
        assertTrue(all.length() < 200_000);
        assertEquals(1, one.requests.size() + two.requests.size(), "not retried");
        awaitMetric("handled.submit.bad_gateway:1|c");
        awaitMetric("in_progress:0|g");
    }

    /**
     * While a client reads nothing, the balancer stops reading from the upstream, so that unread
     * bytes use no memory.
     */
    @Test
    void stopsReadingFromUpstreamWhileClientDoesNotRead() throws Exception {
        byte[] chunk =
                ("8000\r\n" + "x".repeat(0x8000) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        start(
                server(
                        (m, s) -> {
                            if (m.start().contains("look")) {
                                SERVE.on(m, s);
                                return;
                            }
                            Sockets.beginChunks(s);
                            for (int i = 0; i < 1_000; i++) {
                                s.getOutputStream().write(chunk);
                            }
                            signals.add(1);
                            s.getOutputStream().write("0\r\n\r\n".getBytes("UTF-8"));
                        }));
        Client client = client().write(request("POST", "submit", "9000", "Connection: close\r\n"));
        assertEquals('H', client.socket.getInputStream().read());
        for (int i = 0; i < 100; i++) {
            assertEquals(200, client().write(request("GET", "look", "9000", "")).read().status());
        }
        assertTrue(
                signals.isEmpty(),
                "the upstream has written all although the client reads nothing");
        assertTrue(readToEnd(client).endsWith("0\r\n\r\n"));
    }

    @Test
    void acceptsResponseThatEndsWithAnnouncedClose() throws Exception {
        start(
                server(
                        (m, s) -> {
                            s.getOutputStream()
                                    .write(
                                            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall"
                                                    .getBytes("UTF-8"));
                            s.close();
                        }));
        assertEquals("all", client().write(submit()).read().body());
    }

    // Requests

    @Test
    void forwardsLargeRequestUnchanged() throws Exception {
        String large = text(LARGE);
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        assertEquals(200, client.write(upload("Content-Length: " + LARGE, large)).read().status());
        assertTrue(large.equals(Sockets.next(upstream.requests).body()));
        assertEquals(200, client.write(submit()).read().status());
        awaitMetric("upstream_tries:2|c");
    }

    @Test
    void forwardsSmallChunkedRequestWithLength() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        for (char c :
                upload("Transfer-Encoding: chunked", "1\r\nb\r\n2\r\nid\r\n0\r\nX-T: 1\r\n\r\n")
                        .toCharArray()) {
            client.write(String.valueOf(c));
        }
        assertEquals(200, client.read().status());
        Message forwarded = Sockets.next(upstream.requests);
        assertEquals("bid", forwarded.body());
        assertEquals("3", forwarded.headers().get("content-length"));
    }

    /** Streamed bytes are not kept, so that a retry would send a different request. */
    @Test
    void doesNotRetryLargeRequest() throws Exception {
        Script refuse =
                (m, s) -> Sockets.answer(s, "503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
        Server one = server(refuse);
        Server two = server(refuse);
        start(one, two);
        assertEquals(
                503,
                client().write(upload("Content-Length: " + LARGE, text(LARGE))).read().status());
        assertEquals(1, one.requests.size() + two.requests.size());
    }

    /** Otherwise the time of a slow client's request would be over before it is complete. */
    @Test
    void startsClientTimeoutAtLastByte() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        String large = text(LARGE);
        String all = upload("Content-Length: " + LARGE, "").replace("9000", "500") + large;
        Client slow = client().write(all.substring(0, all.length() - 1));
        awaitMetric("in_progress:1|g");
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(200, slow.write(all.substring(all.length() - 1)).read().status());
    }

    @Test
    void abandonsAttemptWhenClientDisconnectsWithinBody() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        String all = upload("Content-Length: " + LARGE, text(LARGE));
        Client client = client().write(all.substring(0, LARGE / 2));
        awaitMetric("in_progress:1|g");
        client.close();
        assertEquals(0, Sockets.next(upstream.ended));
        awaitMetric("in_progress:0|g");
        awaitMetric("upstream_tries:0|c");
    }

    @Test
    void answersExpectContinue() throws Exception {
        start(server(SERVE));
        String all = upload("Expect: 100-continue\r\nContent-Length: 3", "bid");
        Client client = client().write(all.substring(0, all.length() - 3));
        assertEquals(100, client.read().status());
        assertEquals(200, client.write("bid").read().status());
        Client tooLarge =
                client().write(upload("Expect: 100-continue\r\nContent-Length: 60000000", ""));
        assertEquals(413, tooLarge.read().status());
        assertNull(tooLarge.read());
    }

    @Test
    void rejectsChunkedBodyBeyondTheLimit() throws Exception {
        start(server(HANG));
        Client client = client().write(upload("Transfer-Encoding: chunked", ""));
        String chunk = "100000\r\n" + "x".repeat(0x100000) + "\r\n";
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; i < 40; i++) {
                                    client.write(chunk);
                                }
                            } catch (java.io.IOException e) {
                                // rejected in the meantime
                            }
                        });
        writer.start();
        awaitMetric("in_progress:1|g");
        awaitMetric("in_progress:0|g");
        awaitMetric("upstream_tries:0|c");
        client.close();
        writer.join();
    }

    @Test
    void acceptsAbsoluteTarget() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        String absolute = submit().replace("POST /submit", "POST http://app.svc/submit");
        assertEquals(200, client().write(absolute).read().status());
        assertEquals("POST /submit?key=k1 HTTP/1.1", Sockets.next(upstream.requests).start());
    }
}
