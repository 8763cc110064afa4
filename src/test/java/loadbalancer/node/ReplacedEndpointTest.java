package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A new process at the address of one that has gone is not taken for the old one. */
class ReplacedEndpointTest extends LoopbackNodeFixture {
    private final BlockingQueue<String> updates = new LinkedBlockingQueue<>();
    private RawEndpoint old;
    private RawEndpoint replacement;

    @AfterEach
    void closeEndpoints() throws IOException {
        old.close();
        if (replacement != null) {
            replacement.close();
        }
    }

    /** Starts a balancer with one endpoint, and a watch that sends the queued updates. */
    private void startWithWatch(RawEndpoint.Handler handler) throws Exception {
        old = new RawEndpoint(handler);
        String first = entry("s-old", text(old), "Ready");
        start(
                list(41, true, first),
                server(
                        (m, s) -> {
                            Sockets.beginChunks(s);
                            Sockets.chunk(s, list(42, true, first));
                            while (true) {
                                Sockets.chunk(s, updates.take());
                            }
                        }));
    }

    private static String text(RawEndpoint endpoint) {
        return endpoint.address().getHostString() + ":" + endpoint.address().getPort();
    }

    /** Starts another process at the address of the old one, which dies. */
    private void replace(RawEndpoint.Handler handler) throws Exception {
        old.stopListening();
        for (int i = 0; replacement == null; i++) {
            try {
                replacement = new RawEndpoint(old.address(), handler);
            } catch (BindException e) {
                assertTrue(i < 1_000, "the address stays in use");
                Thread.sleep(1); // the old listener is closed once its accept has returned
            }
        }
        old.resetConnections();
    }

    private static RawEndpoint.Handler serving() {
        return (head, in, socket) -> {
            in.readNBytes(3);
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes());
            return true;
        };
    }

    /** Reads requests and never responds. */
    private static RawEndpoint.Handler hanging() {
        return (head, in, socket) -> {
            in.readNBytes(3);
            Thread.sleep(60_000);
            return false;
        };
    }

    private static void awaitRequest(RawEndpoint endpoint) throws InterruptedException {
        for (int i = 0; i < 5_000 && endpoint.heads.isEmpty(); i++) {
            Thread.sleep(1);
        }
    }

    /**
     * Guards against a repeat that reaches the new process: its keys may be those of another group,
     * which does not know what the old process has run.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void keyedRequestIsNotRepeatedAtANewProcessAtTheSameAddress(boolean isListed) throws Exception {
        startWithWatch(hanging());
        try (Client client = client()) {
            client.write(request("POST", "revise", "3000", "Idempotency-Key: 1\r\n"));
            awaitRequest(old);
            if (isListed) {
                updates.add(
                        list(
                                43,
                                false,
                                entry("s-new", text(old), "Ready").replace("\"z\"", "\"y\"")));
                Thread.sleep(200);
            }
            replace(serving());
            assertFailed(client.read());
        }
        assertEquals(List.of(), replacement.heads);
    }

    /** Guards against an entry whose address now belongs to another endpoint. */
    @Test
    void entryWhoseAddressWasTakenOverGetsNoRequest() throws Exception {
        startWithWatch(serving());
        assertEquals(200, client().write(submit()).read().status());
        replace(serving());
        String second = entry("s-new", text(old), "Ready");
        updates.add(list(43, false, second));
        Thread.sleep(300);
        updates.add(list(44, false, second.replace("\"Ready\"", "\"Terminating\"")));
        Thread.sleep(300);
        client().write(request("POST", "submit", "500", "")).read();
        assertEquals(0, replacement.heads.size(), "a draining endpoint under its former id");
    }
}
