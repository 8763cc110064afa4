package loadbalancer.http1.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.publish.Admission;
import loadbalancer.control.publish.DistributionStatus;
import loadbalancer.control.publish.SubscriberSink;
import loadbalancer.control.publish.Subscription;
import loadbalancer.faults.process.peer.Sockets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The calls of a control machine over real sockets: all that can be answered is, and the rest is
 * bounded.
 */
class ControlServerTest extends LoopbackFixture {
    private static final Revision REVISION = new Revision(3, 17);
    private static final String SUBSCRIBE =
            "GET /v1/control?follow=1&name=b1&zone=z1&services=a,b"
                    + "&since=3.17&digest=00c0ffee00c0ffee HTTP/1.1\r\nHost: c\r\n\r\n";
    private static final ControlServerLimits LIMITS =
            new ControlServerLimits(100, 1, 60_000, 60_000);

    private final RecordingSubscriptions subscriptions = new RecordingSubscriptions();
    private final BlockingQueue<String> changes = new LinkedBlockingQueue<>();
    private final BlockingQueue<Consumer<ChangeResult>> answers = new LinkedBlockingQueue<>();
    private final BlockingQueue<MachineReport> reports = new LinkedBlockingQueue<>();
    private volatile boolean answersAtOnce;
    private ControlServer server;

    /** Admits all, or defers all, and notes what it is told. */
    private static final class RecordingSubscriptions implements SubscriptionHandler {
        private final BlockingQueue<SubscribeRequest> requests = new LinkedBlockingQueue<>();
        private final BlockingQueue<SubscriberSink> sinks = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> left = new LinkedBlockingQueue<>();
        private final BlockingQueue<Acknowledgement> acknowledgements = new LinkedBlockingQueue<>();
        private final BlockingQueue<Boolean> writable = new LinkedBlockingQueue<>();
        private volatile Admission.Deferred deferral;

        @Override
        public Admission subscribe(SubscribeRequest request, SubscriberSink sink) {
            requests.add(request);
            if (deferral != null) {
                return deferral;
            }
            sinks.add(sink);
            Subscription subscription = request::subscriber;
            return new Admission.Admitted(subscription);
        }

        @Override
        public void unsubscribe(Subscription subscription) {
            left.add(subscription.subscriber());
        }

        @Override
        public void becameWritable() {
            writable.add(true);
        }

        @Override
        public void acknowledge(Acknowledgement acknowledgement) {
            acknowledgements.add(acknowledgement);
        }
    }

    @BeforeEach
    void listen() throws Exception {
        listen(LIMITS);
    }

    private void listen(ControlServerLimits limits) throws Exception {
        StatusHandler status =
                new StatusHandler() {
                    @Override
                    public ControlStatus status() {
                        return ControlServerTest.status();
                    }

                    @Override
                    public void report(MachineReport report) {
                        reports.add(report);
                    }
                };
        server =
                new ControlServer(
                        transport,
                        limits,
                        subscriptions,
                        (json, answer) -> {
                            changes.add(new String(json, StandardCharsets.UTF_8));
                            if (answersAtOnce) {
                                answer.accept(new ChangeResult.Accepted(REVISION));
                            } else {
                                answers.add(answer);
                            }
                        },
                        status);
        server.bind(ANY_PORT).sync();
        open(() -> transport.loop().submit(server::close).sync());
    }

    private static ControlStatus status() {
        DistributionStatus distribution =
                new DistributionStatus(
                        REVISION,
                        2,
                        1,
                        1,
                        new Revision(3, 1),
                        List.of(
                                new DistributionStatus.Rejection(
                                        "b2", REVISION, "tenant a/t", "no room")));
        return new ControlStatus(
                "c1",
                "writer",
                REVISION,
                new Digest(7),
                3,
                distribution,
                List.of(new MachineReport("c2", 40, distribution)));
    }

    private Sockets.Client client() throws Exception {
        return client(server.address());
    }

    private static String post(String path, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: c\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private void assertOneLine(int status, Sockets.Message answer) {
        assertEquals(status, answer.status(), answer.body());
        assertEquals(1, answer.body().lines().count(), answer.body());
        assertTrue(answer.body().endsWith("\n"));
    }

    @Test
    void linesAndHeartbeatsGoOutAsChunksUntilTheSubscriberLeaves() throws Exception {
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
        String answer = readUntil(subscriber, chunks);
        assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n"), answer);
        assertTrue(answer.contains("transfer-encoding: chunked\r\n"), answer);
        subscriber.close();
        assertEquals("b1", Sockets.next(subscriptions.left));
    }

    private static String readUntil(Sockets.Client client, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            text.append((char) client.socket.getInputStream().read());
        }
        return text.toString();
    }

    @Test
    void aDeferredSubscriberIsToldWhenToComeBack() throws Exception {
        subscriptions.deferral = new Admission.Deferred("too many at once", 1_250);
        Sockets.Message answer = client().write(SUBSCRIBE).read();
        assertOneLine(503, answer);
        assertEquals("1.250", answer.headers().get("retry-after"));
        assertEquals("too many at once\n", answer.body());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\u0000\u0001 garbage\r\n\r\n",
                "GET /v1/control HTTP/1.1\r\nno colon\r\n\r\n"
            })
    void garbageGetsOneLineAndEndsOnlyItsConnection(String garbage) throws Exception {
        Sockets.Client subscriber = client().write(SUBSCRIBE);
        SubscriberSink sink = Sockets.next(subscriptions.sinks);
        assertEquals(200, subscriber.read().status());
        Sockets.Client vandal = client().write(garbage);
        assertOneLine(400, vandal.read());
        assertNull(vandal.read());
        assertTrue(onLoop(sink::isWritable));
        assertTrue(subscriptions.left.isEmpty());
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
    void aSubscriptionThatCannotBeReadGetsOneLine(String query) throws Exception {
        Sockets.Client client = client();
        assertOneLine(400, client.write("GET /v1/control?" + query + " HTTP/1.1\r\n\r\n").read());
        assertTrue(subscriptions.requests.isEmpty());
    }

    @Test
    void unknownCallsAndMethodsGetOneLine() throws Exception {
        assertOneLine(404, client().write("GET /v2 HTTP/1.1\r\n\r\n").read());
        assertOneLine(
                405,
                client().write("PUT /v1/changes HTTP/1.1\r\nContent-Length: 1\r\n\r\nx").read());
    }

    @Test
    void aLongHeadGetsOneLine() throws Exception {
        String name = "n".repeat(ControlProtocol.MAX_REQUEST_LINE_BYTES);
        assertOneLine(400, client().write("GET /" + name + " HTTP/1.1\r\n\r\n").read());
    }

    @Test
    void anAcknowledgementIsTakenAndItsConnectionKept() throws Exception {
        Acknowledgement acknowledgement = Acknowledgement.inForce("b1", REVISION, Digest.EMPTY);
        String json = new String(ResourceCodec.encode(acknowledgement), StandardCharsets.UTF_8);
        Sockets.Client client = client();
        assertEquals(204, client.write(post("/v1/control/acknowledgements", json)).read().status());
        assertEquals(acknowledgement, Sockets.next(subscriptions.acknowledgements));
        assertOneLine(400, client.write(post("/v1/control/acknowledgements", "{}")).read());
        assertEquals(204, client.write(post("/v1/control/acknowledgements", json)).read().status());
    }

    @Test
    void aChangeIsAnsweredWhenItsHandlerAnswers() throws Exception {
        Sockets.Client client = client();
        client.write(post("/v1/changes", "{\"id\":\"c\"}"));
        assertEquals("{\"id\":\"c\"}", Sockets.next(changes));
        assertFalse(client.hasMore());
        tell(new ChangeResult.Accepted(REVISION));
        assertEquals("{\"revision\":\"3.17\"}\n", client.read().body());
        client.write(post("/v1/changes", "x"));
        tell(new ChangeResult.Unreadable("change: no"));
        assertOneLine(400, client.read());
        client.write(post("/v1/changes", "x"));
        tell(new ChangeResult.Rejected("tenant a/t: refers to an unknown service"));
        assertOneLine(409, client.read());
        client.write(post("/v1/changes", "x"));
        tell(new ChangeResult.Unavailable("changes are taken at 127.0.0.1:1", 2_000));
        Sockets.Message answer = client.read();
        assertOneLine(503, answer);
        assertEquals("2.000", answer.headers().get("retry-after"));
    }

    private void tell(ChangeResult answer) throws Exception {
        Consumer<ChangeResult> waiting = Sockets.next(answers);
        transport.loop().execute(() -> waiting.accept(answer));
    }

    @Test
    void aChangeBeyondThoseThatMayBeOpenIsDeferredUntilOneIsAnswered() throws Exception {
        Sockets.Client first = client().write(post("/v1/changes", "x"));
        Sockets.next(changes);
        Sockets.Message answer = client().write(post("/v1/changes", "y")).read();
        assertOneLine(503, answer);
        assertEquals("1.000", answer.headers().get("retry-after"));
        first.close();
        tell(new ChangeResult.Accepted(REVISION));
        client().write(post("/v1/changes", "z"));
        assertEquals("z", Sockets.next(changes));
    }

    @Test
    void aChangeWhoseClientLeavesHalfWayGivesItsPlaceBack() throws Exception {
        answersAtOnce = true;
        Sockets.Client half =
                client().write(
                                "POST /v1/changes HTTP/1.1\r\nContent-Length: 9\r\n"
                                        + "Expect: 100-continue\r\n\r\n");
        assertEquals(100, half.read().status());
        assertEquals(503, client().write(post("/v1/changes", "x")).read().status());
        half.write("abc").close();
        int status = 503;
        while (status == 503) {
            status = client().write(post("/v1/changes", "x")).read().status();
        }
        assertEquals(200, status);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anOversizedChangeGetsOneLineWhileItIsStillSent(boolean lengthSaid) throws Exception {
        Sockets.Client client = client();
        int length = ControlProtocol.MAX_CHANGE_BYTES + 1;
        String framing =
                lengthSaid
                        ? "Content-Length: " + length + "\r\n\r\n"
                        : "Transfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(length)
                                + "\r\n";
        client.write("POST /v1/changes HTTP/1.1\r\n" + framing + "x".repeat(length));
        assertOneLine(413, client.read());
        assertTrue(changes.isEmpty());
    }

    @Test
    void aSlowReaderIsUnwritableUntilItReads() throws Exception {
        Sockets.Client subscriber = client().write(SUBSCRIBE);
        SubscriberSink sink = Sockets.next(subscriptions.sinks);
        while (onLoop(() -> sendIfWritable(sink))) {
            continue;
        }
        Thread reader = new Thread(() -> readToTheEnd(subscriber));
        reader.setDaemon(true);
        reader.start();
        Sockets.next(subscriptions.writable);
        assertTrue(onLoop(sink::isWritable));
        subscriber.close();
        reader.join();
    }

    private static boolean sendIfWritable(SubscriberSink sink) {
        boolean writable = sink.isWritable();
        if (writable) {
            sink.send(new byte[16 << 10]);
        }
        return writable;
    }

    private static void readToTheEnd(Sockets.Client client) {
        try {
            InputStream in = client.socket.getInputStream();
            in.transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // closed by the test
        }
    }

    @Test
    void aReaderThatStoppedIsDisconnected() throws Exception {
        listen(new ControlServerLimits(100, 1, 60_000, 1));
        client().write(SUBSCRIBE);
        SubscriberSink sink = Sockets.next(subscriptions.sinks);
        while (subscriptions.left.isEmpty()) {
            onLoop(() -> sendIfWritable(sink));
        }
        assertEquals("b1", Sockets.next(subscriptions.left));
    }

    @Test
    void aHalfRequestIsEndedInTime() throws Exception {
        listen(new ControlServerLimits(100, 1, 1, 60_000));
        Sockets.Client half =
                client().write("POST /v1/changes HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
        assertOneLine(408, half.read());
        assertNull(client().read());
    }

    @Test
    void withAllConnectionsTakenTheNextWaitsForOneToEnd() throws Exception {
        listen(new ControlServerLimits(1, 1, 60_000, 60_000));
        Sockets.Client first = client().write(SUBSCRIBE);
        Sockets.next(subscriptions.sinks);
        Sockets.Client second = client().write(SUBSCRIBE.replace("b1", "b2"));
        assertEquals(1, subscriptions.requests.size());
        first.close();
        assertEquals(200, second.read().status());
    }

    @Test
    void aRequestBehindAnOpenChangeEndsTheConnection() throws Exception {
        Sockets.Client client = client().write(post("/v1/changes", "x"));
        Sockets.next(changes);
        client.write("GET /v1/control/status HTTP/1.1\r\n\r\n");
        try {
            assertNull(client.read());
        } catch (SocketException e) {
            // a reset is an end, too
        }
    }

    @Test
    void statusAndReportsAreUnderstoodByTheOtherSide() throws Exception {
        ChangeCall call = open(new ChangeCall(transport, server.address()));
        assertEquals(status(), call.status());
        MachineReport report = status().followers().get(0);
        String json = new String(MessageCodec.encode(report), StandardCharsets.UTF_8);
        assertEquals(204, client().write(post("/v1/control/reports", json)).read().status());
        assertEquals(report, Sockets.next(reports));
        assertOneLine(400, client().write(post("/v1/control/reports", "[]")).read());
    }

    @Test
    void aRefusalOfAChangeReachesItsCaller() throws Exception {
        ChangeCall call = open(new ChangeCall(transport, server.address()));
        Change change = new Change("c1", List.of(new Tenant("a", "t", 1, 1)), List.of());
        transport
                .loop()
                .execute(
                        () -> answerNext(new ChangeResult.Rejected("tenant a/t: unknown service")));
        CallRejectedException refused =
                assertThrows(CallRejectedException.class, () -> call.change(change));
        assertEquals("tenant a/t: unknown service", refused.getMessage());
        assertEquals(
                change,
                ResourceCodec.readChange(Sockets.next(changes).getBytes(StandardCharsets.UTF_8)));
    }

    /** Answers the next change as soon as it is there, without keeping the loop. */
    private void answerNext(ChangeResult answer) {
        Consumer<ChangeResult> waiting = answers.poll();
        if (waiting == null) {
            transport.loop().schedule(() -> answerNext(answer), 1, TimeUnit.MILLISECONDS);
        } else {
            waiting.accept(answer);
        }
    }
}
