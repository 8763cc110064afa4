package loadbalancer.http1.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Script;
import loadbalancer.faults.process.peer.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a subscriber's connections against scripted servers on plain sockets. */
class ControlClientTest extends LoopbackFixture {
    private static final SubscribeRequest REQUEST =
            new SubscribeRequest(
                    "b1", "z1", Scope.of("a", "b"), new Revision(3, 17), new Digest(255));

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final SubscriptionEvents recorder =
            new SubscriptionEvents() {
                @Override
                public void line(byte[] line) {
                    String text = new String(line, StandardCharsets.UTF_8);
                    events.add("line " + (line.length > 100 ? line.length : text));
                }

                @Override
                public void heartbeat() {
                    events.add("heartbeat");
                }

                @Override
                public void ended(long retryAfterMillis, String reason) {
                    events.add("ended " + retryAfterMillis + " " + reason);
                }
            };

    private ControlClient subscribe(InetSocketAddress... servers) throws Exception {
        ControlClient client = new ControlClient(transport, List.of(servers));
        open(
                () ->
                        onLoop(
                                () -> {
                                    client.shutDown();
                                    return null;
                                }));
        onLoop(
                () -> {
                    client.listen(recorder);
                    client.open(0, REQUEST);
                    assertNull(events.peek());
                    return null;
                });
        return client;
    }

    private Server server(Script script) throws Exception {
        return open(new Server(script));
    }

    private static InetSocketAddress address(Server server) {
        String[] parts = server.addr().split(":");
        return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    }

    private String next() throws InterruptedException {
        return Sockets.next(events);
    }

    @Test
    void reportsLinesSplitAcrossChunksAndTheReasonOfTheEnd() throws Exception {
        Server server =
                server(
                        (request, socket) -> {
                            Sockets.beginChunks(socket);
                            socket.getOutputStream()
                                    .write(
                                            "4\r\n{\"a\"\r\n4\r\n:1}\n\r\n1\r\n\n\r\n0\r\n\r\n"
                                                    .getBytes(StandardCharsets.UTF_8));
                        });
        subscribe(address(server));
        assertEquals("line {\"a\":1}", next());
        assertEquals("heartbeat", next());
        assertEquals("ended 0 /" + server.addr() + " ended the subscription", next());
        Message request = Sockets.next(server.requests);
        assertEquals(
                "GET /v1/control?follow=1&name=b1&zone=z1&services=a%2Cb&since=3.17"
                        + "&digest=00000000000000ff HTTP/1.1",
                request.start());
    }

    @ParameterizedTest
    @CsvSource({"1.250,1250", "3,3000", "soon,0", "-1,0", "1e9,600000"})
    void reportsDeferralWithItsDelay(String retryAfter, long millis) throws Exception {
        Server server =
                server(
                        (request, socket) ->
                                Sockets.answer(
                                        socket,
                                        "503 Service Unavailable",
                                        "Retry-After: " + retryAfter + "\r\n",
                                        "too many\n"));
        subscribe(address(server));
        assertEquals("ended " + millis + " /" + server.addr() + " responded: too many", next());
    }

    @Test
    void endsSubscriptionOnOversizedLine() throws Exception {
        Server server =
                server(
                        (request, socket) -> {
                            Sockets.beginChunks(socket);
                            Sockets.chunk(socket, "x".repeat(ControlProtocol.MAX_LINE_BYTES));
                            Sockets.chunk(socket, "x".repeat(ControlProtocol.MAX_LINE_BYTES + 1));
                        });
        subscribe(address(server));
        assertEquals("line " + ControlProtocol.MAX_LINE_BYTES, next());
        assertEquals(
                "ended 0 /" + server.addr() + " sent a line longer than 1048576 bytes", next());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "hello\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n"
            })
    void endsSubscriptionOnInvalidHttpResponse(String response) throws Exception {
        Server server =
                server(
                        (request, socket) ->
                                socket.getOutputStream()
                                        .write(response.getBytes(StandardCharsets.UTF_8)));
        subscribe(address(server));
        assertEquals("ended 0 /" + server.addr() + " sent an invalid HTTP response", next());
    }

    @Test
    void reportsUnreachableServerAfterOpenReturns() throws Exception {
        InetSocketAddress unreachable;
        try (ServerSocket closed = new ServerSocket(0)) {
            unreachable = new InetSocketAddress("127.0.0.1", closed.getLocalPort());
        }
        subscribe(unreachable);
        assertEquals("ended 0 no connection to " + unreachable, next());
    }

    @Test
    void reportsNoEventsAfterClose() throws Exception {
        BlockingQueue<Socket> requestSockets = new LinkedBlockingQueue<>();
        Server server = server((request, socket) -> requestSockets.add(socket));
        ControlClient client = subscribe(address(server));
        Sockets.next(requestSockets);
        onLoop(
                () -> {
                    client.close();
                    return null;
                });
        Sockets.next(server.ended);
        assertTrue(events.isEmpty());
    }

    @Test
    void readsAgainAfterAPause() throws Exception {
        BlockingQueue<Socket> requestSockets = new LinkedBlockingQueue<>();
        Server server = server((request, socket) -> requestSockets.add(socket));
        ControlClient client = subscribe(address(server));
        Socket socket = Sockets.next(requestSockets);
        onLoop(
                () -> {
                    client.pauseReading(true);
                    return null;
                });
        Sockets.beginChunks(socket);
        Sockets.chunk(socket, "{}");
        onLoop(
                () -> {
                    assertNull(events.peek());
                    client.pauseReading(false);
                    return null;
                });
        assertEquals("line {}", next());
    }

    @Test
    void sendsOneAcknowledgementAtATimeAndThenTheNewest() throws Exception {
        BlockingQueue<Socket> requestSockets = new LinkedBlockingQueue<>();
        Server server = server((request, socket) -> requestSockets.add(socket));
        ControlClient client = new ControlClient(transport, List.of(address(server)));
        open(
                () ->
                        onLoop(
                                () -> {
                                    client.shutDown();
                                    return null;
                                }));
        onLoop(
                () -> {
                    for (int number = 1; number <= 3; number++) {
                        client.acknowledge(0, acknowledgement(number));
                    }
                    return null;
                });
        Socket first = Sockets.next(requestSockets);
        assertEquals(acknowledgement(1), read(Sockets.next(server.requests)));
        assertTrue(server.requests.isEmpty());
        Sockets.answer(first, "204 No Content", "", "");
        assertEquals(acknowledgement(3), read(Sockets.next(server.requests)));
        assertEquals(1, server.accepted.size());
        // The acknowledgement is lost, and the next one is sent on a new connection.
        Sockets.reset(Sockets.next(requestSockets));
        onLoop(
                () -> {
                    client.acknowledge(0, acknowledgement(4));
                    return null;
                });
        assertEquals(acknowledgement(4), read(Sockets.next(server.requests)));
        assertEquals(2, server.accepted.size());
    }

    private static Acknowledgement acknowledgement(int number) {
        return Acknowledgement.inForce("b1", new Revision(3, number), Digest.EMPTY);
    }

    private static Acknowledgement read(Message request) throws Exception {
        assertEquals("POST /v1/control/acknowledgements HTTP/1.1", request.start());
        return ResourceCodec.readAcknowledgement(request.body().getBytes(StandardCharsets.UTF_8));
    }
}
