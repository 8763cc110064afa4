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

/** Bodies larger than what is held, both ways, and the forms in which HTTP/1.1 brings them. */
class LargeTest extends OnSockets {
    private static final int LARGE = 5 << 20;
    private final BlockingQueue<Integer> seen = new LinkedBlockingQueue<>();

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

    private void await(String line) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        while (!figures.render().contains("app." + line + "\n")) {
            assertTrue(System.nanoTime() < end, line + " not in\n" + figures.render());
            Thread.onSpinWait();
        }
    }

    /** Reads to the end of the connection. */
    private static String rest(Client client) throws Exception {
        InputStream in = client.socket.getInputStream();
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }

    // ---- Answers
    // -------------------------------------------------------------------------------------

    @Test
    void largeAnswerPassesUnchangedAndTheConnectionIsKept() throws Exception {
        String large = text(LARGE);
        start(server((m, s) -> Sockets.answer(s, "200 OK", "", large)));
        Client client = client();
        for (int i = 0; i < 2; i++) {
            Message answer = client.write(submit()).read();
            assertEquals(200, answer.status());
            assertTrue(large.equals(answer.body()), "the same bytes");
        }
        await("handled.submit.passed:2|c");
    }

    /** Its client has it from the first bytes on, long before the last. */
    @Test
    void largeAnswerBeginsBeforeItsEndIsThere() throws Exception {
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
        String all = rest(client);
        assertTrue(all.toLowerCase().contains("transfer-encoding: chunked"), all.substring(0, 200));
        assertTrue(all.endsWith("3\r\nend\r\n0\r\n\r\n"), "whole, as its client can tell");
    }

    /** The deadline is for the beginning: what the upstream still gives is not cut off. */
    @Test
    void deadlineDoesNotCutALargeAnswerOff() throws Exception {
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
        // Asked later, and with as much time: when this one's is up, the other's is too.
        assertFailed(
                client().write(request("POST", "revise", "600", "Idempotency-Key: 1\r\n")).read());
        later.countDown();
        assertTrue(rest(client).endsWith("0\r\n\r\n"));
        await("handled.submit.passed:1|c");
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 200000", "Transfer-Encoding: chunked"})
    void largeAnswerThatBreaksOffIsSeenToBreak(String framing) throws Exception {
        Script half =
                (m, s) -> {
                    s.getOutputStream()
                            .write(
                                    ("HTTP/1.1 200 OK\r\n"
                                                    + framing
                                                    + "\r\n\r\n19000\r\n"
                                                    + text(100_000))
                                            .getBytes("UTF-8"));
                    Sockets.next(seen);
                    s.close();
                };
        Server one = server(half);
        Server two = server(half);
        start(one, two);
        Client client = client().write(request("POST", "submit", "9000", ""));
        assertEquals('H', client.socket.getInputStream().read());
        seen.add(1);
        String all = rest(client);
        assertFalse(all.endsWith("0\r\n\r\n"));
        assertTrue(all.length() < 200_000);
        assertEquals(1, one.requests.size() + two.requests.size(), "not sent again");
        await("handled.submit.bad_gateway:1|c");
        await("in_progress:0|g");
    }

    /**
     * A client that reads nothing holds the upstream back, and takes no memory for what it leaves
     * there.
     */
    @Test
    void clientThatDoesNotReadHoldsItsUpstreamBack() throws Exception {
        byte[] piece =
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
                                s.getOutputStream().write(piece);
                            }
                            seen.add(1);
                            s.getOutputStream().write("0\r\n\r\n".getBytes("UTF-8"));
                        }));
        Client client = client().write(request("POST", "submit", "9000", "Connection: close\r\n"));
        assertEquals('H', client.socket.getInputStream().read());
        for (int i = 0; i < 100; i++) {
            assertEquals(200, client().write(request("GET", "look", "9000", "")).read().status());
        }
        assertTrue(seen.isEmpty(), "the upstream has written all, and it is not at its client");
        assertTrue(rest(client).endsWith("0\r\n\r\n"));
    }

    @Test
    void answerThatEndsWithItsConnectionCountsWhereThatIsTold() throws Exception {
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

    // ---- Requests
    // ------------------------------------------------------------------------------------

    @Test
    void largeRequestPassesUnchanged() throws Exception {
        String large = text(LARGE);
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        assertEquals(200, client.write(upload("Content-Length: " + LARGE, large)).read().status());
        assertTrue(large.equals(Sockets.next(upstream.requests).body()));
        assertEquals(200, client.write(submit()).read().status());
        await("upstream_tries:2|c");
    }

    @Test
    void smallRequestInChunksAndBytesIsPassedOnWhole() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client();
        for (char c :
                upload("Transfer-Encoding: chunked", "1\r\nb\r\n2\r\nid\r\n0\r\nX-T: 1\r\n\r\n")
                        .toCharArray()) {
            client.write(String.valueOf(c));
        }
        assertEquals(200, client.read().status());
        Message seen = Sockets.next(upstream.requests);
        assertEquals("bid", seen.body());
        assertEquals("3", seen.headers().get("content-length"));
    }

    /** What was passed on is gone: sent again, the request would be another one. */
    @Test
    void largeRequestIsNotSentAgain() throws Exception {
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

    /**
     * Its time counts from its last byte, or a slow client's request would be over before it is
     * there.
     */
    @Test
    void timeOfALargeRequestCountsFromItsLastByte() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        String large = text(LARGE);
        String all = upload("Content-Length: " + LARGE, "").replace("9000", "500") + large;
        Client slow = client().write(all.substring(0, all.length() - 1));
        await("in_progress:1|g");
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(200, slow.write(all.substring(all.length() - 1)).read().status());
    }

    @Test
    void clientThatLeavesAmidItsBodyEndsTheAttempt() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        String all = upload("Content-Length: " + LARGE, text(LARGE));
        Client client = client().write(all.substring(0, LARGE / 2));
        await("in_progress:1|g");
        client.close();
        assertEquals(0, Sockets.next(upstream.ended));
        await("in_progress:0|g");
        await("upstream_tries:0|c");
    }

    @Test
    void clientThatWaitsForTheWordToGoOnGetsIt() throws Exception {
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
    void chunksBeyondTheLimitAreAnswered413() throws Exception {
        start(server(HANG));
        Client client = client().write(upload("Transfer-Encoding: chunked", ""));
        String piece = "100000\r\n" + "x".repeat(0x100000) + "\r\n";
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; i < 40; i++) {
                                    client.write(piece);
                                }
                            } catch (java.io.IOException e) {
                                // turned away meanwhile
                            }
                        });
        writer.start();
        await("in_progress:1|g");
        await("in_progress:0|g");
        await("upstream_tries:0|c");
        client.close();
        writer.join();
    }

    @Test
    void targetMayNameItsHost() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        String absolute = submit().replace("POST /submit", "POST http://app.svc/submit");
        assertEquals(200, client().write(absolute).read().status());
        assertEquals("POST /submit?key=k1 HTTP/1.1", Sockets.next(upstream.requests).start());
    }
}
