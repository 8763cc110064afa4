package loadbalancer.http1.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.publish.Admission;
import loadbalancer.control.publish.SubscriberSink;
import loadbalancer.faults.process.peer.Sockets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the calls of a control server and their responses over real sockets. */
class ControlServerTest extends ControlServerFixture {
    @Test
    void sendsLinesAndHeartbeatsAsChunksUntilTheSubscriberDisconnects() throws Exception {
        Sockets.Client subscriber = client().write(SUBSCRIBE);
        SubscriberSink sink = Sockets.next(subscriptions.sinks);
        assertEquals(
                new SubscribeRequest(
                        "b1", "z1", Scope.of("a", "b"), REVISION, Digest.parse("00c0ffee00c0ffee")),
                Sockets.next(subscriptions.requests));
        onLoop(
                () -> {
                    sink.send("{\"part\":0}".getBytes(StandardCharsets.UTF_8));
                    sink.heartbeat();
                    return null;
                });
        String chunks = "b\r\n{\"part\":0}\n\r\n1\r\n\n\r\n";
        String response = readUntil(subscriber, chunks);
        assertTrue(response.startsWith("HTTP/1.1 200 OK\r\n"), response);
        assertTrue(response.contains("transfer-encoding: chunked\r\n"), response);
        subscriber.close();
        assertEquals("b1", Sockets.next(subscriptions.unsubscribed));
    }

    private static String readUntil(Sockets.Client client, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            text.append((char) client.socket.getInputStream().read());
        }
        return text.toString();
    }

    @Test
    void sendsRetryAfterToDeferredSubscriber() throws Exception {
        subscriptions.deferral = new Admission.Deferred("too many at once", 1_250);
        Sockets.Message response = client().write(SUBSCRIBE).read();
        assertOneLine(503, response);
        assertEquals("1.250", response.headers().get("retry-after"));
        assertEquals("too many at once\n", response.body());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\u0000\u0001 garbage\r\n\r\n",
                "GET /v1/control HTTP/1.1\r\nno colon\r\n\r\n"
            })
    void rejectsMalformedRequestAndEndsOnlyItsConnection(String malformed) throws Exception {
        Sockets.Client subscriber = client().write(SUBSCRIBE);
        SubscriberSink sink = Sockets.next(subscriptions.sinks);
        assertEquals(200, subscriber.read().status());
        Sockets.Client sender = client().write(malformed);
        assertOneLine(400, sender.read());
        assertNull(sender.read());
        assertTrue(onLoop(sink::isWritable));
        assertTrue(subscriptions.unsubscribed.isEmpty());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "follow=1",
                "follow=1&name=a%20b",
                "name=b1",
                "follow=1&name=b1&since=three",
                "follow=1&name=b1&digest=xyz"
            })
    void rejectsSubscriptionWithInvalidQuery(String query) throws Exception {
        Sockets.Client client = client();
        assertOneLine(400, client.write("GET /v1/control?" + query + " HTTP/1.1\r\n\r\n").read());
        assertTrue(subscriptions.requests.isEmpty());
    }

    @Test
    void rejectsUnknownPathAndMethod() throws Exception {
        assertOneLine(404, client().write("GET /v2 HTTP/1.1\r\n\r\n").read());
        assertOneLine(
                405,
                client().write("PUT /v1/changes HTTP/1.1\r\nContent-Length: 1\r\n\r\nx").read());
    }

    @Test
    void passesOnAcknowledgementAndKeepsTheConnection() throws Exception {
        Acknowledgement acknowledgement = Acknowledgement.inForce("b1", REVISION, Digest.EMPTY);
        String json = new String(ResourceCodec.encode(acknowledgement), StandardCharsets.UTF_8);
        Sockets.Client client = client();
        assertEquals(204, client.write(post("/v1/control/acknowledgements", json)).read().status());
        assertEquals(acknowledgement, Sockets.next(subscriptions.acknowledgements));
        assertOneLine(400, client.write(post("/v1/control/acknowledgements", "{}")).read());
        assertEquals(204, client.write(post("/v1/control/acknowledgements", json)).read().status());
    }

    @Test
    void respondsToChangeWhenItsResultIsKnown() throws Exception {
        Sockets.Client client = client();
        client.write(post("/v1/changes", "{\"id\":\"c\"}"));
        assertEquals("{\"id\":\"c\"}", Sockets.next(changes));
        assertFalse(client.hasMore());
        complete(new ChangeResult.Accepted(REVISION));
        assertEquals("{\"revision\":\"3.17\"}\n", client.read().body());
        client.write(post("/v1/changes", "x"));
        complete(new ChangeResult.Unreadable("change: no"));
        assertOneLine(400, client.read());
        client.write(post("/v1/changes", "x"));
        complete(new ChangeResult.Rejected("tenant a/t: refers to an unknown service"));
        assertOneLine(409, client.read());
        client.write(post("/v1/changes", "x"));
        complete(new ChangeResult.Unavailable("changes are taken at 127.0.0.1:1", 2_000));
        Sockets.Message response = client.read();
        assertOneLine(503, response);
        assertEquals("2.000", response.headers().get("retry-after"));
    }

    @Test
    void closesConnectionOnRequestDuringAnOpenChange() throws Exception {
        Sockets.Client client = client().write(post("/v1/changes", "x"));
        Sockets.next(changes);
        client.write("GET /v1/control/status HTTP/1.1\r\n\r\n");
        try {
            assertNull(client.read());
        } catch (SocketException e) {
            // a reset also ends the connection
        }
    }

    @Test
    void decodesStatusAndReports() throws Exception {
        ControlApiClient call = open(new ControlApiClient(transport, server.address()));
        assertEquals(status(), call.status());
        ControlServerReport report = status().followers().get(0);
        String json = new String(MessageCodec.encode(report), StandardCharsets.UTF_8);
        assertEquals(204, client().write(post("/v1/control/reports", json)).read().status());
        assertEquals(report, Sockets.next(reports));
        assertOneLine(400, client().write(post("/v1/control/reports", "[]")).read());
    }

    @Test
    void reportsRejectionOfAChangeToItsClient() throws Exception {
        ControlApiClient call = open(new ControlApiClient(transport, server.address()));
        Change change = new Change("c1", List.of(new Tenant("a", "t", 1, 1)), List.of());
        transport
                .loop()
                .execute(
                        () ->
                                completeNext(
                                        new ChangeResult.Rejected("tenant a/t: unknown service")));
        CallRejectedException rejected =
                assertThrows(CallRejectedException.class, () -> call.change(change));
        assertEquals("tenant a/t: unknown service", rejected.getMessage());
        assertEquals(
                change,
                ResourceCodec.readChange(Sockets.next(changes).getBytes(StandardCharsets.UTF_8)));
    }

    /** Completes the next change once it has been received, without blocking the event loop. */
    private void completeNext(ChangeResult response) {
        Consumer<ChangeResult> pending = pendingResults.poll();
        if (pending == null) {
            transport.loop().schedule(() -> completeNext(response), 1, TimeUnit.MILLISECONDS);
        } else {
            pending.accept(response);
        }
    }
}
