package loadbalancer.http1.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.publish.SubscriberSink;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.SocketTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the limits of a control server on sizes, times, open changes and connections. */
class ControlServerLimitsTest extends ControlServerFixture {
    @Test
    void rejectsHeadBeyondTheLimit() throws Exception {
        String name = "n".repeat(ControlProtocol.MAX_REQUEST_LINE_BYTES);
        assertOneLine(400, client().write("GET /" + name + " HTTP/1.1\r\n\r\n").read());
    }

    @Test
    void defersChangeBeyondTheLimitUntilAnotherIsComplete() throws Exception {
        Sockets.Client first = client().write(post("/v1/changes", "x"));
        Sockets.next(changes);
        Sockets.Message response = client().write(post("/v1/changes", "y")).read();
        assertOneLine(503, response);
        assertEquals("1.000", response.headers().get("retry-after"));
        first.close();
        complete(new ChangeResult.Accepted(REVISION));
        client().write(post("/v1/changes", "z"));
        assertEquals("z", Sockets.next(changes));
    }

    @Test
    void releasesPermitIfTheClientDisconnectsDuringAChange() throws Exception {
        respondsImmediately = true;
        Sockets.Client incomplete =
                client().write(
                                "POST /v1/changes HTTP/1.1\r\nContent-Length: 9\r\n"
                                        + "Expect: 100-continue\r\n\r\n");
        assertEquals(100, incomplete.read().status());
        assertEquals(503, client().write(post("/v1/changes", "x")).read().status());
        incomplete.write("abc").close();
        int status = 503;
        while (status == 503) {
            status = client().write(post("/v1/changes", "x")).read().status();
        }
        assertEquals(200, status);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void rejectsOversizedChangeBeforeItsEnd(boolean hasContentLength) throws Exception {
        Sockets.Client client = client();
        int length = ControlProtocol.MAX_CHANGE_BYTES + 1;
        String framing =
                hasContentLength
                        ? "Content-Length: " + length + "\r\n\r\n"
                        : "Transfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(length)
                                + "\r\n";
        client.write("POST /v1/changes HTTP/1.1\r\n" + framing + "x".repeat(length));
        assertOneLine(413, client.read());
        assertTrue(changes.isEmpty());
    }

    /** Guards against an exhausted heap by bodies that many connections send in part. */
    @Test
    void bodiesOfManyConnectionsAreLimitedInTheirSum() throws Exception {
        MemoryQuota quota = new MemoryQuota(1 << 20);
        transport = new SocketTransport(transport.loop(), quota);
        listen(LIMITS);
        String report =
                "POST /v1/control/reports HTTP/1.1\r\nContent-Length: 500000\r\n\r\n"
                        + "x".repeat(400_000);
        Sockets.Client first = client().write(report);
        awaitReserved(quota, 400_000);
        Sockets.Message response = client().write(report).read();
        assertOneLine(503, response);
        assertEquals("1.000", response.headers().get("retry-after"));
        assertEquals(1, quota.refusals());
        first.close();
        awaitReserved(quota, 0);
        client().write(report);
        awaitReserved(quota, 400_000);
    }

    private static void awaitReserved(MemoryQuota quota, long bytes) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        while (bytes == 0 ? quota.reservedBytes() > 0 : quota.reservedBytes() < bytes) {
            assertTrue(System.nanoTime() < end, quota.reservedBytes() + " bytes reserved");
            Thread.sleep(5);
        }
    }

    @Test
    void rejectsHeadWithTooManyFields() throws Exception {
        String fields = "a:b\r\n".repeat(101);
        assertOneLine(
                400,
                client().write("GET /v1/control/status HTTP/1.1\r\n" + fields + "\r\n").read());
    }

    @Test
    void slowSubscriberIsUnwritableUntilItReads() throws Exception {
        Sockets.Client subscriber = client().write(SUBSCRIBE);
        SubscriberSink sink = Sockets.next(subscriptions.sinks);
        while (onLoop(() -> sendIfWritable(sink))) {
            continue;
        }
        Thread reader = new Thread(() -> readAll(subscriber));
        reader.setDaemon(true);
        reader.start();
        Sockets.next(subscriptions.writable);
        assertTrue(onLoop(sink::isWritable));
        subscriber.close();
        reader.join();
    }

    private static void readAll(Sockets.Client client) {
        try {
            InputStream in = client.socket.getInputStream();
            in.transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // closed by the test
        }
    }

    @Test
    void disconnectsSubscriberThatStopsReading() throws Exception {
        listen(new ControlServerLimits(100, 1, 60_000, 1));
        client().write(SUBSCRIBE);
        SubscriberSink sink = Sockets.next(subscriptions.sinks);
        while (subscriptions.unsubscribed.isEmpty()) {
            onLoop(() -> sendIfWritable(sink));
        }
        assertEquals("b1", Sockets.next(subscriptions.unsubscribed));
    }

    @Test
    void timesOutIncompleteRequest() throws Exception {
        listen(new ControlServerLimits(100, 1, 1, 60_000));
        Sockets.Client incomplete =
                client().write("POST /v1/changes HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
        assertOneLine(408, incomplete.read());
        assertNull(client().read());
    }

    @Test
    void acceptsConnectionBeyondTheLimitOnlyAfterAnotherCloses() throws Exception {
        listen(new ControlServerLimits(1, 1, 60_000, 60_000));
        Sockets.Client first = client().write(SUBSCRIBE);
        Sockets.next(subscriptions.sinks);
        Sockets.Client second = client().write(SUBSCRIBE.replace("b1", "b2"));
        assertEquals(1, subscriptions.requests.size());
        first.close();
        assertEquals(200, second.read().status());
    }
}
