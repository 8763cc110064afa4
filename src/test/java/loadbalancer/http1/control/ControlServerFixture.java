package loadbalancer.http1.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.publish.Admission;
import loadbalancer.control.publish.DistributionStatus;
import loadbalancer.control.publish.SubscriberSink;
import loadbalancer.control.publish.Subscription;
import loadbalancer.faults.process.peer.Sockets;
import org.junit.jupiter.api.BeforeEach;

/** Provides a control server on a real socket with handlers that record the received calls. */
abstract class ControlServerFixture extends LoopbackFixture {
    static final Revision REVISION = new Revision(3, 17);

    static final String SUBSCRIBE =
            "GET /v1/control?follow=1&name=b1&zone=z1&services=a,b"
                    + "&since=3.17&digest=00c0ffee00c0ffee HTTP/1.1\r\nHost: c\r\n\r\n";

    static final ControlServerLimits LIMITS = new ControlServerLimits(100, 1, 60_000, 60_000);

    final RecordingSubscriptions subscriptions = new RecordingSubscriptions();

    final BlockingQueue<String> changes = new LinkedBlockingQueue<>();

    final BlockingQueue<Consumer<ChangeResult>> pendingResults = new LinkedBlockingQueue<>();

    final BlockingQueue<ControlServerReport> reports = new LinkedBlockingQueue<>();

    volatile boolean respondsImmediately;

    ControlServer server;

    /** Records the calls and admits all subscribers, or defers all if a deferral is set. */
    static final class RecordingSubscriptions implements SubscriptionHandler {
        final BlockingQueue<SubscribeRequest> requests = new LinkedBlockingQueue<>();
        final BlockingQueue<SubscriberSink> sinks = new LinkedBlockingQueue<>();
        final BlockingQueue<String> unsubscribed = new LinkedBlockingQueue<>();
        final BlockingQueue<Acknowledgement> acknowledgements = new LinkedBlockingQueue<>();
        final BlockingQueue<Boolean> writable = new LinkedBlockingQueue<>();
        volatile Admission.Deferred deferral;

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
            unsubscribed.add(subscription.subscriber());
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

    void listen(ControlServerLimits limits) throws Exception {
        StatusHandler status =
                new StatusHandler() {
                    @Override
                    public ControlStatus status() {
                        return ControlServerTest.status();
                    }

                    @Override
                    public void report(ControlServerReport report) {
                        reports.add(report);
                    }
                };
        server =
                new ControlServer(
                        transport,
                        limits,
                        subscriptions,
                        (json, response) -> {
                            changes.add(new String(json, StandardCharsets.UTF_8));
                            if (respondsImmediately) {
                                response.accept(new ChangeResult.Accepted(REVISION));
                            } else {
                                pendingResults.add(response);
                            }
                        },
                        status);
        server.bind(ANY_PORT).sync();
        open(() -> transport.loop().submit(server::close).sync());
    }

    static ControlStatus status() {
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
                List.of(new ControlServerReport("c2", 40, distribution)));
    }

    Sockets.Client client() throws Exception {
        return client(server.address());
    }

    static String post(String path, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: c\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    void assertOneLine(int status, Sockets.Message response) {
        assertEquals(status, response.status(), response.body());
        assertEquals(1, response.body().lines().count(), response.body());
        assertTrue(response.body().endsWith("\n"));
    }

    void complete(ChangeResult result) throws Exception {
        Consumer<ChangeResult> pending = Sockets.next(pendingResults);
        transport.loop().execute(() -> pending.accept(result));
    }

    static boolean sendIfWritable(SubscriberSink sink) {
        boolean writable = sink.isWritable();
        if (writable) {
            sink.send(new byte[16 << 10]);
        }
        return writable;
    }
}
