package yewyoke.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import yewyoke.Balancer.Outcome;
import yewyoke.Balancer.State;
import yewyoke.exchange.Back;
import yewyoke.exchange.Body;
import yewyoke.exchange.Download;
import yewyoke.exchange.Head;
import yewyoke.exchange.ServerList;
import yewyoke.faults.process.peer.Sockets;
import yewyoke.faults.process.peer.Sockets.Client;
import yewyoke.faults.process.peer.Sockets.Script;
import yewyoke.faults.process.peer.Sockets.Server;
import yewyoke.http1.upstream.Upstreams;
import yewyoke.transport.SocketTransport;

/** A request or its answer meets the end of an upstream's connection. */
class UpstreamCrossingsTest extends OnSockets {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CLOSE = "Connection: close\r\n";
    private static final long IDLE_MICROS = 100_000_000;

    private EventLoop loop;
    private Upstreams upstreams;

    @BeforeEach
    void upstreams() throws Exception {
        loop = group.next();
        upstreams = loop.submit(() -> new Upstreams(new SocketTransport(loop), 5_000_000, IDLE_MICROS, 10))
                .get();
    }

    // ---- What peers do, and what an attempt hears ----------------------------------------------------

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private enum End {
        FIN, RST;

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
        loop.execute(() -> {
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

    private void listed(Server... servers) throws Exception {
        List<ServerList.Entry> entries = new ArrayList<>();
        for (Server s : servers) {
            int colon = s.addr().indexOf(':');
            entries.add(new ServerList.Entry("s" + entries.size(), new InetSocketAddress(
                    s.addr().substring(0, colon), Integer.parseInt(s.addr().substring(colon + 1))), "z", "k",
                    0, State.READY, 1, 0));
        }
        loop.submit(() -> upstreams.apply(new ServerList(1, true, entries))).get();
    }

    /** One attempt, and what it hears. */
    private final class Heard implements Back.Listener, Download {
        final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        final StringBuffer large = new StringBuffer();
        Back.Attempt attempt;

        @Override public void written() {
            events.add("written");
        }

        @Override public void began() {
            events.add("began");
        }

        @Override public Download opened(long length) {
            events.add("opened " + length);
            return this;
        }

        @Override public void piece(ByteBuf bytes) {
            large.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
        }

        @Override public void end(boolean whole) {
            events.add(whole ? "whole" : "broken off");
        }

        @Override public boolean isWritable(Runnable resume) {
            return true;
        }

        @Override public void ended(Outcome outcome, Back.Answer answer) {
            events.add(outcome + (answer == null ? "" : " "
                    + answer.body().toString(StandardCharsets.US_ASCII)));
        }

        void hears(String... expected) throws InterruptedException {
            for (String e : expected) {
                assertEquals(e, Sockets.next(events));
            }
        }

        /** And nothing more, also not in the turn behind. */
        void hearsLast(String... expected) throws Exception {
            hears(expected);
            loop.submit(() -> { }).get();
            assertEquals(List.of(), List.copyOf(events));
        }
    }

    private Heard ask(Body body) throws Exception {
        Heard heard = new Heard();
        Head head = new Head("POST", "/x", "app.svc", true, List.of());
        heard.attempt = loop.submit(() -> upstreams.start("s0", head, body, heard)).get();
        return heard;
    }

    private Heard ask() throws Exception {
        return ask(Body.empty());
    }

    // ---- Answers that end with their connection ------------------------------------------------------

    /** The codec makes a last content of every end; it was served as whole. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n", "Connection: keep-alive\r\n"})
    void resetIsNoEndOfAnAnswerWithNoLength(String connection) throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        listed(server((m, s) -> {
            write(s, OK + connection + "\r\nhal");
            read.await();
            Sockets.reset(s);
        }));
        Heard heard = ask();
        heard.hears("written", "began");
        read.countDown();
        heard.hearsLast("RESET");
    }

    /** All bytes and the end lie ready when the loop comes to read. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: close\r\n", "Connection: keep-alive\r\n"})
    void resetInTheSameMomentIsNoEndEither(String connection) throws Exception {
        atOnce(End.RST, OK + connection + "\r\nhal", "began", "RESET");
    }

    @Test
    void finIsTheEndOfAnAnswerWithNoLength() throws Exception {
        atOnce(End.FIN, OK + CLOSE + "\r\nwhole", "began", "OK whole");
        atOnce(End.FIN, "HTTP/1.0 200 OK\r\n\r\nwhole", "began", "OK whole");
    }

    /** Its length was lost on the way: bytes may be missing, or there may be some that are not its own. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Connection: keep-alive\r\n"})
    void finEndsNoAnswerThatDidNotAnnounceIt(String connection) throws Exception {
        atOnce(End.FIN, OK + connection + "\r\nwhole", "began", "RESET");
        atOnce(End.FIN, OK + connection + "\r\n", "began", "RESET");
    }

    @Test
    void finBehindTheHeadIsTheEndOfAnEmptyAnswer() throws Exception {
        atOnce(End.FIN, OK + CLOSE + "\r\n", "began", "OK ");
    }

    @Test
    void resetBehindTheHeadIsNoEnd() throws Exception {
        atOnce(End.RST, OK + CLOSE + "\r\n", "began", "RESET");
    }

    /** A FIN amid a head, a length or a chunk ends nothing, and before any byte neither. */
    @ParameterizedTest
    @EnumSource(End.class)
    void otherAnswersDoNotEndWithTheirConnection(End end) throws Exception {
        atOnce(end, "", "RESET");
        atOnce(end, "HTTP/1.1 200 O", "RESET");
        atOnce(end, OK + "Content-Length: 9\r\n\r\nhal", "began", "RESET");
        atOnce(end, OK + "Transfer-Encoding: chunked\r\n\r\n9\r\nhal", "began", "RESET");
        atOnce(end, OK + "Transfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n", "began", "RESET");
    }

    private void atOnce(End end, String answer, String... heard) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch gone = new CountDownLatch(1);
        listed(server((m, s) -> {
            go.await();
            write(s, answer);
            end.of(s);
            gone.countDown();
        }));
        Heard attempt = ask();
        attempt.hears("written");
        inOneTurn(() -> {
            go.countDown();
            gone.await();
        });
        attempt.hearsLast(heard);
    }

    /** Its client has got the beginning by then, and learns that this is not all. */
    @ParameterizedTest
    @EnumSource(End.class)
    void largeAnswerWithNoLengthIsWholeOnlyIfItsConnectionEndsInOrder(End end) throws Exception {
        CountDownLatch passed = new CountDownLatch(1);
        String text = "x".repeat(2 * Body.SMALL);
        listed(server((m, s) -> {
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
            heard.hearsLast("whole", "OK ");
            assertEquals(text, heard.large.toString());
        } else {
            heard.hearsLast("broken off", "RESET");
        }
    }

    /** From end to end: the request may have run, so it is answered as failed and not sent again. */
    @Test
    void clientOfAnAnswerThatWasResetIsToldOfAFailure() throws Exception {
        Script half = (m, s) -> {
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
        start(server((m, s) -> {
            write(s, OK + CLOSE + "\r\n" + "x".repeat(2 * Body.SMALL));
            begun.await();
            end.of(s);
        }));
        Client client = client().write(request("POST", "submit", "9000", "Connection: close\r\n"));
        assertEquals('H', client.socket.getInputStream().read());
        begun.countDown();
        String all = new String(client.socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        if (end == End.FIN) {
            assertTrue(all.endsWith("\r\n0\r\n\r\n"));
        } else {
            assertFalse(all.endsWith("\r\n0\r\n\r\n"));
        }
    }
}
